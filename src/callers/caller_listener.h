#ifndef SRC_CALLERS_CALLER_LISTENER_H_
#define SRC_CALLERS_CALLER_LISTENER_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "src/callers/caller_answer.h"
#include "src/callers/caller_request.h"
#include "src/callers/request_handle.h"
#include "src/common/result.h"
#include "src/http2/responder.h"
#include "src/http2/server.h"
#include "src/http2/server_options.h"

namespace jasminelug::callers {

// Callbacks of a CallerListener to its owner.
struct CallerHooks {
  // Called with each request that is well-formed and has a key. The owner must
  // answer it once, during the call or later; see CallerListener::Answer.
  std::function<void(const RequestHandle&, const CallerRequest&)> m_on_request;
  // Called when the caller of an unanswered request reset its stream or
  // disconnected. The handle is then invalid, but the request may still take
  // effect on the database.
  std::function<void(const RequestHandle&)> m_on_caller_disconnected;
};

// The reason why a listener could not start.
struct CallerListenerError {
  bool operator==(const CallerListenerError&) const = default;

  std::string m_message;
};

// Serves the callers' JSON API over HTTP/2. The listener itself answers
// /healthz, /readyz, malformed requests and requests without a key; it passes
// all others to its owner. All methods and hooks run on the thread of its
// io_context.
class CallerListener {
 public:
  // Does not listen before Start. The listener replaces
  // `options.m_body_too_large` by an answer in the format of its API.
  CallerListener(asio::io_context& io_context,
                 const http2::ServerOptions& options,
                 CallerHooks hooks);

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  // Starts to listen on the address and port of the options.
  Result<Done, CallerListenerError> Start();

  // Returns the port that the listener listens on. To be called after Start.
  std::uint16_t Port() const;

  // Sends `answer` to the caller of the request `handle`. Returns false and
  // sends nothing if the caller has disconnected or was answered already.
  bool Answer(const RequestHandle& handle, const CallerAnswer& answer);

  // Sets whether /readyz reports that the process is ready; initially false.
  // After Shutdown no new requests, thus no probes, are accepted.
  void SetReady(bool ready);

  // Stops accepting requests, lets the owner answer the running ones, and calls
  // `done` when the last connection has closed.
  void Shutdown(std::function<void()> done);

 private:
  void OnRequest(const http2::Request& request,
                 const http2::Responder& responder);
  void OnStreamAborted(const http2::StreamId& id);
  bool AnswerProbe(const http2::Request& request,
                   const http2::Responder& responder);
  RequestHandle AddRequest(const http2::StreamId& id,
                           const http2::Responder& responder);

  struct OpenRequest {
    http2::StreamId m_stream;
    http2::Responder m_responder;
  };

  CallerHooks m_hooks;
  std::map<RequestHandle, OpenRequest> m_open_requests;
  std::map<http2::StreamId, RequestHandle> m_handles_by_stream;
  std::uint64_t m_last_number = 0;
  bool m_ready = false;
  // Declared last, so that the server with its hooks is destroyed before the
  // members that the hooks use.
  http2::Server m_server;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_LISTENER_H_
