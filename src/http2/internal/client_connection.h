#ifndef SRC_HTTP2_INTERNAL_CLIENT_CONNECTION_H_
#define SRC_HTTP2_INTERNAL_CLIENT_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/http2/client_options.h"
#include "src/http2/internal/connection.h"
#include "src/http2/internal/exchange.h"

namespace jasminelug::http2::internal {

// One connection of a Client and the exchanges that use it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& io_context, const ClientOptions& options);

  // Starts to connect. Calls `on_closed` when the connection has closed, after
  // every exchange got its result; no hook is called after that.
  void Connect(std::function<void()> on_closed);

  // Sends the request of `exchange`, immediately or as soon as the connection
  // is established.
  void Send(const std::shared_ptr<Exchange>& exchange);

  // Returns whether new requests may be sent on this connection.
  bool IsUsable() const;

  // Returns the number of exchanges without a result.
  std::size_t Outstanding() const;

  // Closes the connection immediately, without calling any hook.
  void Stop();

 private:
  enum class State {
    kConnecting,
    kOpen,
    // Takes no new requests and is closed when the running ones have ended.
    kRetired,
    kClosed
  };

  ConnectionHooks MakeHooks();
  void Handshake();
  void Open();
  void OnConnectFailed(const std::error_code& error);
  void StartTimeout(const std::shared_ptr<Exchange>& exchange);
  void OnTimeout(const std::shared_ptr<Exchange>& exchange);
  void Submit(const std::shared_ptr<Exchange>& exchange);
  void OnHeader(std::int32_t stream, const Header& header);
  void OnHeadersReceived(std::int32_t stream);
  void OnData(std::int32_t stream, std::string_view data);
  void OnMessageReceived(std::int32_t stream);
  void OnHeadersSent(std::int32_t stream);
  void OnStreamClosed(std::int32_t stream, std::uint32_t error);
  void OnClosed();
  bool AddReceivedBytes(Exchange& exchange, std::size_t size);
  void Retire();
  void TerminateIfUnused();
  std::shared_ptr<Exchange> Find(std::int32_t stream) const;
  std::shared_ptr<Exchange> Take(std::int32_t stream);

  const ClientOptions m_options;
  std::shared_ptr<Connection> m_connection;
  asio::steady_timer m_connect_timer;
  std::function<void()> m_on_closed;
  State m_state = State::kConnecting;
  // Exchanges whose requests wait until the connection is established.
  std::vector<std::shared_ptr<Exchange>> m_pending;
  // The submitted exchanges without a result, by stream ID.
  std::map<std::int32_t, std::shared_ptr<Exchange>> m_running;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_CLIENT_CONNECTION_H_
