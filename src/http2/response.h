#ifndef SRC_HTTP2_RESPONSE_H_
#define SRC_HTTP2_RESPONSE_H_

#include <string>

#include "src/http2/header.h"

namespace jasminelug::http2 {

// A complete response. The server adds the content-length header.
struct Response {
  bool operator==(const Response&) const = default;

  int m_status = 0;
  Headers m_headers;
  std::string m_body;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_RESPONSE_H_
