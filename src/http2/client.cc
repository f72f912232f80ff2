#include "src/http2/client.h"

#include <utility>

#include "src/http2/internal/client_pool.h"

namespace jasminelug::http2 {

Client::Client(asio::io_context& io_context, const ClientOptions& options)
    : m_pool(std::make_shared<internal::ClientPool>(io_context, options)) {}

Client::~Client() {
  m_pool->Stop();
}

void Client::Send(const Request& request,
                  std::chrono::milliseconds timeout,
                  ResponseHook on_response) {
  m_pool->Send(request, timeout, std::move(on_response));
}

}  // namespace jasminelug::http2
