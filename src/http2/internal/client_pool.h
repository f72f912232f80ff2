#ifndef SRC_HTTP2_INTERNAL_CLIENT_POOL_H_
#define SRC_HTTP2_INTERNAL_CLIENT_POOL_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <set>

#include "src/http2/client.h"
#include "src/http2/internal/client_connection.h"

namespace jasminelug::http2::internal {

// Owns the connections of a Client: the current one, and earlier ones on which
// requests are still running.
class ClientPool : public std::enable_shared_from_this<ClientPool> {
 public:
  ClientPool(asio::io_context& io_context, const ClientOptions& options);

  void Send(const Request& request,
            std::chrono::milliseconds timeout,
            ResponseHook on_response);

  // Closes all connections immediately, without calling any hook.
  void Stop();

 private:
  std::shared_ptr<ClientConnection> UsableConnection();
  std::size_t Outstanding() const;

  asio::io_context& m_io_context;
  const ClientOptions m_options;
  std::shared_ptr<ClientConnection> m_current;
  std::set<std::shared_ptr<ClientConnection>> m_connections;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_CLIENT_POOL_H_
