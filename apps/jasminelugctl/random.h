#ifndef APPS_JASMINELUGCTL_RANDOM_H_
#define APPS_JASMINELUGCTL_RANDOM_H_

#include <cstddef>
#include <string>

namespace jasminelug::ctl {

// Returns `bytes` bytes of OpenSSL's generator in hexadecimal.
std::string RandomHex(std::size_t bytes);

// Returns an id that no other write has.
std::string MakeWriteId();

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_RANDOM_H_
