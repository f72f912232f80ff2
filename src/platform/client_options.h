#ifndef SRC_PLATFORM_CLIENT_OPTIONS_H_
#define SRC_PLATFORM_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "jasminelug/http2.h"

namespace jasminelug::platform {

// The address of the platform's object API and the limits on its calls.
struct ClientOptions {
  // An IP address in text form; host names are not resolved.
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  // Null for HTTP/2 without TLS.
  http2::TlsContext m_tls;
  std::chrono::milliseconds m_connect_timeout{500};
  // Time limit of one call. The wait of a watch is added to it.
  std::chrono::milliseconds m_call_timeout{1000};
  // Size limit of one answer, and thus of a list of objects.
  std::size_t m_max_response_bytes = std::size_t{64} << 20;
};

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_CLIENT_OPTIONS_H_
