#ifndef SRC_HTTP2_CLIENT_ERROR_H_
#define SRC_HTTP2_CLIENT_ERROR_H_

#include <string>

namespace jasminelug::http2 {

// Why a request has no response.
struct ClientError {
  enum class Kind {
    // The server provably did not process the request: no byte of it left, or
    // the server refused the stream or named a lower last stream in its GOAWAY.
    kNotSent,
    // The server may have processed it.
    kUnknown,
  };

  bool operator==(const ClientError&) const = default;

  Kind m_kind = Kind::kUnknown;
  // The address actively refused the connection: no process listens there.
  bool m_connect_refused = false;
  std::string m_message;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_CLIENT_ERROR_H_
