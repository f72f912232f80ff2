#ifndef SRC_HTTP2_REQUEST_H_
#define SRC_HTTP2_REQUEST_H_

#include <string>

#include "src/http2/header.h"
#include "src/http2/stream_id.h"

namespace jasminelug::http2 {

// One whole request. A server fills in the id; a client leaves it as it is.
struct Request {
  bool operator==(const Request&) const = default;

  std::string m_method;
  // The path with its query, such as "/v1/statement".
  std::string m_path;
  // Without the fields whose names begin with a colon.
  Headers m_headers;
  std::string m_body;
  StreamId m_id;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_REQUEST_H_
