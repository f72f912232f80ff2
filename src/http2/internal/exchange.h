#ifndef SRC_HTTP2_INTERNAL_EXCHANGE_H_
#define SRC_HTTP2_INTERNAL_EXCHANGE_H_

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "src/http2/client.h"

namespace jasminelug::http2::internal {

// One request of a client and what has come of it so far.
struct Exchange {
  Exchange(const Request& request, asio::steady_timer timer, ResponseHook hook)
      : m_request(request),
        m_timer(std::move(timer)),
        m_on_response(std::move(hook)) {}

  // Calls the hook for the first result, and never again.
  void Finish(const ClientResult& result) {
    m_timer.cancel();
    const ResponseHook hook = std::exchange(m_on_response, {});
    if (hook) {
      hook(result);
    }
  }

  Request m_request;
  asio::steady_timer m_timer;
  ResponseHook m_on_response;
  // Zero until the request was given to a connection's session.
  std::int32_t m_stream = 0;
  // Some of it may have left.
  bool m_sent = false;
  std::chrono::steady_clock::time_point m_sent_at;
  Response m_response;
  std::size_t m_response_bytes = 0;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_EXCHANGE_H_
