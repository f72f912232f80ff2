#ifndef APPS_JASMINELUGCTL_RANDOM_H_
#define APPS_JASMINELUGCTL_RANDOM_H_

#include <cstddef>
#include <string>

namespace jasminelug::ctl {

// Returns `bytes` bytes from OpenSSL's random number generator in hexadecimal.
std::string RandomHex(std::size_t bytes);

// Returns a random write ID, which identifies all attempts of one write.
std::string MakeWriteId();

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_RANDOM_H_
