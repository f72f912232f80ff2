#ifndef SRC_HTTP2_CLIENT_OPTIONS_H_
#define SRC_HTTP2_CLIENT_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/http2/tls.h"

namespace jasminelug::http2 {

// Options of a Client.
struct ClientOptions {
  // An IPv4 or IPv6 address; host names are not resolved.
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
  // Maximum time for the TCP connection and the TLS handshake together.
  std::chrono::milliseconds m_connect_timeout = std::chrono::seconds(1);
  // Maximum size of the headers and the body of one response together.
  std::size_t m_max_response_bytes = std::size_t{16} * 1024 * 1024;
  // Maximum number of requests that wait for a response at the same time.
  // Further requests fail with ClientError::Kind::kNotSent.
  std::size_t m_max_outstanding = 4096;
  // Null for unencrypted HTTP/2 with prior knowledge.
  TlsContext m_tls;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_CLIENT_OPTIONS_H_
