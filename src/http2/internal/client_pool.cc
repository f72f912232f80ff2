#include "src/http2/internal/client_pool.h"

#include <asio/post.hpp>

#include <utility>

namespace jasminelug::http2::internal {

ClientPool::ClientPool(asio::io_context& io_context,
                       const ClientOptions& options)
    : m_io_context(io_context), m_options(options) {}

void ClientPool::Send(const Request& request,
                      std::chrono::milliseconds timeout,
                      ResponseHook on_response) {
  if (Outstanding() >= m_options.m_max_outstanding) {
    const ClientError error = {ClientError::Kind::kNotSent, false,
                               "too many requests wait for an answer"};
    asio::post(m_io_context, [hook = std::move(on_response), error] {
      hook(ClientResult(error));
    });
    return;
  }
  const auto exchange = std::make_shared<Exchange>(
      request, asio::steady_timer(m_io_context, timeout),
      std::move(on_response));
  UsableConnection()->Send(exchange);
}

std::shared_ptr<ClientConnection> ClientPool::UsableConnection() {
  if (m_current && m_current->IsUsable()) {
    return m_current;
  }
  m_current = std::make_shared<ClientConnection>(m_io_context, m_options);
  m_connections.insert(m_current);
  m_current->Connect(
      [weak = weak_from_this(), connection = std::weak_ptr(m_current)] {
        const auto self = weak.lock();
        const auto closed = connection.lock();
        if (self && closed) {
          self->m_connections.erase(closed);
        }
      });
  return m_current;
}

std::size_t ClientPool::Outstanding() const {
  std::size_t count = 0;
  for (const auto& connection : m_connections) {
    count += connection->Outstanding();
  }
  return count;
}

void ClientPool::Stop() {
  m_current.reset();
  for (const auto& connection : std::exchange(m_connections, {})) {
    connection->Stop();
  }
}

}  // namespace jasminelug::http2::internal
