#include "src/http2/server.h"

#include <utility>

#include "src/http2/internal/listener.h"

namespace jasminelug::http2 {

Server::Server(asio::io_context& io_context,
               const ServerOptions& options,
               RequestHook on_request,
               StreamAbortedHook on_stream_gone)
    : m_listener(
          std::make_shared<internal::Listener>(io_context,
                                               options,
                                               std::move(on_request),
                                               std::move(on_stream_gone))) {}

Server::~Server() {
  m_listener->Stop();
}

Result<Done, ServerError> Server::Start() {
  return m_listener->Start();
}

std::uint16_t Server::Port() const {
  return m_listener->Port();
}

void Server::Shutdown(std::function<void()> done) {
  m_listener->Shutdown(std::move(done));
}

}  // namespace jasminelug::http2
