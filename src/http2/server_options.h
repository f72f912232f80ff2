#ifndef SRC_HTTP2_SERVER_OPTIONS_H_
#define SRC_HTTP2_SERVER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/http2/response.h"
#include "src/http2/tls.h"

namespace jasminelug::http2 {

// Options of a Server: its address and the limits for its clients.
struct ServerOptions {
  // An IPv4 or IPv6 address; host names are not resolved.
  std::string m_address = "127.0.0.1";
  // Zero for a port that the system chooses; see Server::Port.
  std::uint16_t m_port = 0;
  std::size_t m_max_body_bytes = std::size_t{1024} * 1024;
  std::size_t m_max_header_bytes = std::size_t{16} * 1024;
  // Maximum number of streams that a connection may have open at the same time;
  // further streams are refused.
  std::uint32_t m_max_concurrent_streams = 256;
  // Maximum time without any bytes received or sent on a connection. After that
  // the connection is closed, unless it has a request that the server has not
  // answered yet.
  std::chrono::milliseconds m_idle_timeout = std::chrono::minutes(5);
  // Null for unencrypted HTTP/2 with prior knowledge.
  TlsContext m_tls;
  // Response to a request whose body is larger than m_max_body_bytes.
  Response m_body_too_large = {
      413,
      {{"content-type", "application/json"}},
      R"({"error":{"code":"body_too_large",)"
      R"("message":"the body is larger than the limit","not_run":true}})"};
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_SERVER_OPTIONS_H_
