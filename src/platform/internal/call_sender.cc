#include "src/platform/internal/call_sender.h"

#include <asio/post.hpp>

#include <utility>

namespace jasminelug::platform::internal {
namespace {

http2::ClientOptions ToHttp2(const ClientOptions& options) {
  http2::ClientOptions result;
  result.m_address = options.m_address;
  result.m_port = options.m_port;
  result.m_tls = options.m_tls;
  result.m_connect_timeout = options.m_connect_timeout;
  result.m_max_response_bytes = options.m_max_response_bytes;
  return result;
}

bool IsNotSent(const http2::ClientResult& result) {
  return !IsOk(result) &&
         GetError(result).m_kind == http2::ClientError::Kind::kNotSent;
}

}  // namespace

CallSender::CallSender(asio::io_context& io, const ClientOptions& options)
    : m_io(io),
      m_call_timeout(options.m_call_timeout),
      m_client(io, ToHttp2(options)) {}

void CallSender::Call(Counter counter,
                      const http2::Request& request,
                      std::chrono::milliseconds wait,
                      http2::ResponseHook hook) {
  ++((*m_counts).*counter);
  m_client.Send(request, m_call_timeout + wait,
                [counts = m_counts, counter,
                 hook = std::move(hook)](const http2::ClientResult& result) {
                  if (IsNotSent(result)) {
                    --((*counts).*counter);
                  }
                  hook(result);
                });
}

void CallSender::Post(std::function<void()> task) {
  asio::post(m_io, std::move(task));
}

}  // namespace jasminelug::platform::internal
