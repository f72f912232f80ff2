#ifndef SRC_HTTP2_CLIENT_H_
#define SRC_HTTP2_CLIENT_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

#include "src/common/result.h"
#include "src/http2/client_error.h"
#include "src/http2/client_options.h"
#include "src/http2/request.h"
#include "src/http2/response.h"

namespace jasminelug::http2 {

namespace internal {
class ClientPool;
}

using ClientResult = Result<Response, ClientError>;
using ResponseHook = std::function<void(const ClientResult&)>;

// Sends requests to one address over one multiplexed connection. The client
// connects when there is a request to send, and again after the connection was
// lost. After a GOAWAY, or if a request timed out on a connection that received
// nothing since the request was sent, new requests use a new connection while
// the running ones finish on the old one. The client never retries a request.
// All methods and hooks run on the thread of its io_context.
class Client {
 public:
  Client(asio::io_context& io_context, const ClientOptions& options);

  // Closes all connections without calling the hooks of unanswered requests.
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` and calls `on_response` once with the result, never from
  // within Send. `timeout` starts now and includes the time to connect.
  void Send(const Request& request,
            std::chrono::milliseconds timeout,
            ResponseHook on_response);

 private:
  std::shared_ptr<internal::ClientPool> m_pool;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_CLIENT_H_
