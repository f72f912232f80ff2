#ifndef SRC_HTTP2_SERVER_H_
#define SRC_HTTP2_SERVER_H_

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/common/result.h"
#include "src/http2/request.h"
#include "src/http2/responder.h"
#include "src/http2/server_options.h"

namespace jasminelug::http2 {

namespace internal {
class Listener;
}

// Called with each complete request.
using RequestHook = std::function<void(const Request&, const Responder&)>;

// Called when the stream of an unanswered request was closed, because the
// client reset it or the connection was closed. A later response is discarded.
using StreamAbortedHook = std::function<void(const StreamId&)>;

// The reason why a server could not listen.
struct ServerError {
  bool operator==(const ServerError&) const = default;

  std::string m_message;
};

// An HTTP/2 server. All methods and hooks run on the thread of its io_context.
// The destructor closes all connections immediately.
class Server {
 public:
  // Does not listen before Start.
  Server(asio::io_context& io_context,
         const ServerOptions& options,
         RequestHook on_request,
         StreamAbortedHook on_stream_gone = {});
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Starts to listen on the address and port of the options.
  Result<Done, ServerError> Start();

  // Returns the port that the server listens on. To be called after Start.
  std::uint16_t Port() const;

  // Stops listening, sends GOAWAY, refuses new streams with REFUSED_STREAM and
  // lets the running ones finish. The last GOAWAY of each connection contains
  // the highest ID of the streams whose request was passed to the request hook,
  // so that the client knows that requests on higher streams were not
  // processed. Calls `done` when the last connection has closed.
  void Shutdown(std::function<void()> done);

 private:
  std::shared_ptr<internal::Listener> m_listener;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_SERVER_H_
