#ifndef SRC_HTTP2_INTERNAL_LISTENER_H_
#define SRC_HTTP2_INTERNAL_LISTENER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "src/http2/internal/server_connection.h"
#include "src/http2/server.h"

namespace jasminelug::http2::internal {

// Accepts connections and owns them until they close; see Server.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(asio::io_context& io_context,
           const ServerOptions& options,
           RequestHook on_request,
           StreamAbortedHook on_stream_gone);

  Result<Done, ServerError> Start();
  std::uint16_t Port() const;
  void Shutdown(std::function<void()> done);

  // Stops listening and closes all connections, without calling any hook.
  void Stop();

 private:
  void Accept();
  void OnAccepted(const std::error_code& error, asio::ip::tcp::socket socket);
  void RetryAccept();
  void AddConnection(asio::ip::tcp::socket socket);
  void RemoveConnection(std::uint64_t id);
  void CloseAcceptor();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_retry_timer;
  const ServerOptions m_options;
  RequestHook m_on_request;
  StreamAbortedHook m_on_stream_aborted;
  std::map<std::uint64_t, std::shared_ptr<ServerConnection>> m_connections;
  std::uint64_t m_last_connection_id = 0;
  std::function<void()> m_on_shut_down;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_LISTENER_H_
