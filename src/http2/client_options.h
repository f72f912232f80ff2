#ifndef SRC_HTTP2_CLIENT_OPTIONS_H_
#define SRC_HTTP2_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/http2/tls.h"

namespace jasminelug::http2 {

// Where a client connects to.
struct ClientOptions {
  // An IP number.
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  // For TCP and TLS together.
  std::chrono::milliseconds m_connect_timeout = std::chrono::seconds(1);
  // For the headers and body of one response.
  std::size_t m_max_response_bytes = std::size_t{16} * 1024 * 1024;
  // Requests that may wait for an answer at once; more are not sent.
  std::size_t m_max_outstanding = 4096;
  // Null for plain HTTP/2 with prior knowledge.
  TlsContext m_tls;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_CLIENT_OPTIONS_H_
