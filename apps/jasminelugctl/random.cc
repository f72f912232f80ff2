#include "apps/jasminelugctl/random.h"

#include <openssl/rand.h>

#include <vector>

#include "jasminelug/common.h"

namespace jasminelug::ctl {
namespace {

constexpr std::size_t kWriteIdBytes = 16;

}  // namespace

std::string RandomHex(std::size_t bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::vector<unsigned char> buffer(bytes);
  const int status = RAND_bytes(buffer.data(), static_cast<int>(bytes));
  JASMINELUG_ASSERT(status == 1, RANDOM_BYTES_ARE_DRAWN);
  std::string hex;
  for (const unsigned char byte : buffer) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xfU]);
  }
  return hex;
}

std::string MakeWriteId() {
  return "ctl-" + RandomHex(kWriteIdBytes);
}

}  // namespace jasminelug::ctl
