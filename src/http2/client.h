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

// Sends requests to one address over one multiplexed connection, which it makes
// when there is something to send and again after it was lost. A connection
// that got GOAWAY, or that stays silent, is replaced for new requests while its
// running ones finish. It never repeats a request. All methods and hooks run on
// the thread of its io_context.
class Client {
 public:
  Client(asio::io_context& io_context, const ClientOptions& options);

  // Closes the connection; requests without a response get no call.
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` and calls `on_response` once, never from within Send.
  // `timeout` counts from now and includes the wait for the connection.
  void Send(const Request& request,
            std::chrono::milliseconds timeout,
            ResponseHook on_response);

 private:
  std::shared_ptr<internal::ClientPool> m_pool;
};

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_CLIENT_H_
