#ifndef SRC_HTTP2_REQUEST_H_
#define SRC_HTTP2_REQUEST_H_

#include <string>

#include "src/http2/header.h"
#include "src/http2/stream_id.h"

namespace jasminelug::http2 {

// A complete request. The server sets m_id; a client does not use it.
struct Request {
  bool operator==(const Request&) const = default;

  std::string m_method;
  // The path including the query string, such as "/v1/statement?x=1".
  std::string m_path;
  // Without pseudo-header fields, whose names begin with a colon.
  Headers m_headers;
  std::string m_body;
  StreamId m_id;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_REQUEST_H_
