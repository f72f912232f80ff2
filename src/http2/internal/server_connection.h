#ifndef SRC_HTTP2_INTERNAL_SERVER_CONNECTION_H_
#define SRC_HTTP2_INTERNAL_SERVER_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "src/http2/internal/connection.h"
#include "src/http2/server.h"
#include "src/http2/server_options.h"

namespace jasminelug::http2::internal {

// An accepted connection. Assembles requests, dispatches them to the request
// hook and sends the responses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // `on_closed` is called when the connection has closed, after all other
  // hooks.
  ServerConnection(std::uint64_t id,
                   const ServerOptions& options,
                   RequestHook on_request,
                   StreamAbortedHook on_stream_gone,
                   std::function<void()> on_closed);

  void Start(asio::ip::tcp::socket socket);

  // Refuses new streams and closes the connection when all streams have ended.
  void Shutdown();

  // Closes the connection immediately, without calling any hook.
  void Stop();

 private:
  enum class StreamState {
    kReceiving,
    // The request was passed to the hook and is not yet answered.
    kDispatched,
    kAnswered,
    // The headers or the body exceeded their limit; the stream was reset or
    // answered with an error before the request was complete.
    kRejected,
  };

  struct Stream {
    Request m_request;
    std::size_t m_header_bytes = 0;
    std::size_t m_discarded_bytes = 0;
    StreamState m_state = StreamState::kReceiving;
  };

  ConnectionHooks MakeHooks();
  void OnHandshake(const std::error_code& error);
  void OnStreamOpened(std::int32_t stream);
  void OnHeader(std::int32_t stream, const Header& header);
  void OnData(std::int32_t stream, std::string_view data);
  void OnMessageReceived(std::int32_t stream);
  void Discard(std::int32_t stream, std::size_t size);
  void OnStreamClosed(std::int32_t stream);
  void OnClosed();
  Stream* FindReceiving(std::int32_t stream);
  Responder MakeResponder(std::int32_t stream);
  void Answer(std::int32_t stream, const Response& response);
  void ReportAborted(std::int32_t stream, const Stream& entry);
  bool HasUnansweredRequest() const;
  void StartIdleTimer(std::chrono::steady_clock::time_point since);
  void CheckIdle();
  void TerminateIfUnused();

  const std::uint64_t m_id;
  const ServerOptions m_options;
  RequestHook m_on_request;
  StreamAbortedHook m_on_stream_aborted;
  std::function<void()> m_on_closed;
  std::shared_ptr<Connection> m_connection;
  std::unique_ptr<asio::steady_timer> m_idle_timer;
  std::map<std::int32_t, Stream> m_streams;
  // Highest ID of the streams whose request was passed to the hook.
  std::int32_t m_last_dispatched = 0;
  bool m_started = false;
  bool m_shutting_down = false;
  // Whether GOAWAY was sent because the connection was idle.
  bool m_idle_goaway_sent = false;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_SERVER_CONNECTION_H_
