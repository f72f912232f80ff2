#ifndef SRC_HTTP2_RESPONDER_H_
#define SRC_HTTP2_RESPONDER_H_

#include <functional>
#include <memory>

#include "src/http2/response.h"

namespace jasminelug::http2 {

// Sends the response to one request. Copies refer to the same request.
class Responder {
 public:
  using SendHook = std::function<void(const Response&)>;

  explicit Responder(SendHook send);

  // Sends `response` on the stream of the request. Does nothing if the stream
  // was closed. May be called during the request hook or at any time later; the
  // requests of a connection may be answered in any order. To be called at most
  // once, on the thread of the server's io_context.
  void Respond(const Response& response) const;

 private:
  struct State {
    SendHook m_send;
    bool m_answered = false;
  };

  std::shared_ptr<State> m_state;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_RESPONDER_H_
