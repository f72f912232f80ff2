#ifndef SRC_HTTP2_SERVER_OPTIONS_H_
#define SRC_HTTP2_SERVER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/http2/response.h"
#include "src/http2/tls.h"

namespace jasminelug::http2 {

// Where a server listens and what it lets its peers do.
struct ServerOptions {
  // An IP number.
  std::string m_address = "127.0.0.1";
  // Zero lets the system choose; see Server::Port.
  std::uint16_t m_port = 0;
  std::size_t m_max_body_bytes = std::size_t{1024} * 1024;
  std::size_t m_max_header_bytes = std::size_t{16} * 1024;
  // Streams that one connection may have open at once; more are refused.
  std::uint32_t m_max_concurrent_streams = 256;
  // A connection is closed when nothing has moved on it for so long, unless the
  // server itself owes it an answer.
  std::chrono::milliseconds m_idle_timeout = std::chrono::minutes(5);
  // Null for plain HTTP/2 with prior knowledge.
  TlsContext m_tls;
  // What a request is answered whose body is larger than the limit.
  Response m_body_too_large = {
      413,
      {{"content-type", "application/json"}},
      R"({"error":{"code":"body_too_large",)"
      R"("message":"the body is larger than the limit","not_run":true}})"};
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_SERVER_OPTIONS_H_
