#ifndef SRC_PLATFORM_CLIENT_OPTIONS_H_
#define SRC_PLATFORM_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "jasminelug/http2.h"

namespace jasminelug::platform {

// Where the platform's object API is and how long to wait for it.
struct ClientOptions {
  // An IP number.
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  // Null for plain HTTP/2.
  http2::TlsContext m_tls;
  std::chrono::milliseconds m_connect_timeout{500};
  // Limit on one call; a watch's own wait comes on top.
  std::chrono::milliseconds m_call_timeout{1000};
  // Limit on one answer, so on the list of one kind.
  std::size_t m_max_response_bytes = std::size_t{64} << 20;
};

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_CLIENT_OPTIONS_H_
