#include "src/http2/internal/listener.h"

#include <asio/post.hpp>

#include <chrono>
#include <utility>

namespace jasminelug::http2::internal {
namespace {

using asio::ip::tcp;

// Delay before accepting again after an error, such as a lack of file
// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

Listener::Listener(asio::io_context& io_context,
                   const ServerOptions& options,
                   RequestHook on_request,
                   StreamAbortedHook on_stream_gone)
    : m_acceptor(io_context),
      m_retry_timer(io_context),
      m_options(options),
      m_on_request(std::move(on_request)),
      m_on_stream_aborted(std::move(on_stream_gone)) {}

Result<Done, ServerError> Listener::Start() {
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(m_options.m_address),
                                 m_options.m_port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
  } catch (const std::system_error& error) {
    CloseAcceptor();
    return ServerError{"cannot listen on " + m_options.m_address + ":" +
                       std::to_string(m_options.m_port) + ": " +
                       error.code().message()};
  }
  Accept();
  return Done{};
}

std::uint16_t Listener::Port() const {
  std::error_code ignored;
  return m_acceptor.local_endpoint(ignored).port();
}

void Listener::Accept() {
  m_acceptor.async_accept(
      [self = shared_from_this()](const std::error_code& error,
                                  tcp::socket socket) {
        self->OnAccepted(error, std::move(socket));
      });
}

void Listener::OnAccepted(const std::error_code& error, tcp::socket socket) {
  if (!m_acceptor.is_open()) {
    return;
  }
  if (error) {
    RetryAccept();
    return;
  }
  AddConnection(std::move(socket));
  Accept();
}

void Listener::RetryAccept() {
  m_retry_timer.expires_after(kAcceptRetryDelay);
  m_retry_timer.async_wait(
      [self = shared_from_this()](const std::error_code& error) {
        if (!error && self->m_acceptor.is_open()) {
          self->Accept();
        }
      });
}

void Listener::AddConnection(tcp::socket socket) {
  const std::uint64_t id = ++m_last_connection_id;
  const auto closed = [weak = weak_from_this(), id] {
    if (const auto self = weak.lock()) {
      self->RemoveConnection(id);
    }
  };
  const auto connection = std::make_shared<ServerConnection>(
      id, m_options, m_on_request, m_on_stream_aborted, closed);
  m_connections[id] = connection;
  connection->Start(std::move(socket));
}

void Listener::RemoveConnection(std::uint64_t id) {
  m_connections.erase(id);
  if (m_connections.empty() && m_on_shut_down) {
    std::exchange(m_on_shut_down, {})();
  }
}

void Listener::Shutdown(std::function<void()> done) {
  CloseAcceptor();
  if (m_connections.empty()) {
    asio::post(m_acceptor.get_executor(), std::move(done));
    return;
  }
  m_on_shut_down = std::move(done);
  for (const auto& [id, connection] : m_connections) {
    connection->Shutdown();
  }
}

void Listener::Stop() {
  CloseAcceptor();
  m_on_shut_down = {};
  for (const auto& [id, connection] : std::exchange(m_connections, {})) {
    connection->Stop();
  }
}

void Listener::CloseAcceptor() {
  std::error_code ignored;
  m_acceptor.close(ignored);
  m_retry_timer.cancel();
}

}  // namespace jasminelug::http2::internal
