#ifndef SRC_HTTP2_RESPONDER_H_
#define SRC_HTTP2_RESPONDER_H_

#include <functional>
#include <memory>

#include "src/http2/response.h"

namespace jasminelug::http2 {

// Answers one request. Copies answer the same request.
class Responder {
 public:
  using SendHook = std::function<void(const Response&)>;

  explicit Responder(SendHook send);

  // Sends `response` to the stream of the request, now or much later, in any
  // order with other requests; does nothing if the stream is gone. To be called
  // at most once, from the thread of the server's io_context.
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
