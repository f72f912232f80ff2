#ifndef SRC_HTTP2_CLIENT_ERROR_H_
#define SRC_HTTP2_CLIENT_ERROR_H_

#include <string>

namespace jasminelug::http2 {

// The reason why a request has no response.
struct ClientError {
  enum class Kind {
    // The server has not processed the request and never will: no byte of it
    // was sent, or the server refused its stream, or the last stream ID in the
    // server's GOAWAY is lower than the ID of its stream.
    kNotSent,
    // The server may have processed the request.
    kUnknown,
  };

  bool operator==(const ClientError&) const = default;

  Kind m_kind = Kind::kUnknown;
  // Whether the connection was refused (ECONNREFUSED), so that no process
  // listens on the address.
  bool m_connect_refused = false;
  std::string m_message;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_CLIENT_ERROR_H_
