#include "src/core/key_digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <memory>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

constexpr char kSeparator = '.';

using DigestBytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

struct FreeDigestContext {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

std::string ToHex(const unsigned char* bytes, unsigned size) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * static_cast<size_t>(size));
  for (unsigned i = 0; i < size; ++i) {
    hex.push_back(kDigits[bytes[i] >> 4U]);
    hex.push_back(kDigits[bytes[i] & 0xfU]);
  }
  return hex;
}

}  // namespace

std::optional<KeyId> KeyIdOf(const Secret& key) {
  const std::string& text = key.Reveal();
  const size_t separator = text.find(kSeparator);
  if (separator == 0 || separator == std::string::npos) {
    return std::nullopt;
  }
  return KeyId(text.substr(0, separator));
}

std::string DigestKey(const std::string& salt, const Secret& key) {
  // One context per thread, because creating a context costs more than
  // computing the digest.
  thread_local const std::unique_ptr<EVP_MD_CTX, FreeDigestContext> context(
      EVP_MD_CTX_new());
  DigestBytes digest{};
  unsigned size = 0;
  const std::string& text = key.Reveal();
  const bool done = context &&
                    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) &&
                    EVP_DigestUpdate(context.get(), salt.data(), salt.size()) &&
                    EVP_DigestUpdate(context.get(), text.data(), text.size()) &&
                    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
  JASMINELUG_ASSERT(done, DIGEST_OF_A_KEY_IS_COMPUTED);
  return ToHex(digest.data(), size);
}

bool DigestsEqual(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

KeyGrant MakeKeyGrant(const CustomerName& customer,
                      const std::string& salt,
                      const Secret& key) {
  KeyGrant grant;
  grant.m_id = KeyIdOf(key).value_or(KeyId());
  grant.m_customer = customer;
  grant.m_digest = DigestKey(salt, key);
  grant.m_salt = salt;
  return grant;
}

}  // namespace jasminelug::core
