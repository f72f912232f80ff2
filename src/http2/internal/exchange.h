#ifndef SRC_HTTP2_INTERNAL_EXCHANGE_H_
#define SRC_HTTP2_INTERNAL_EXCHANGE_H_

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "src/http2/client.h"

namespace jasminelug::http2::internal {

// A request of a client and the part of its response received so far.
struct Exchange {
  Exchange(const Request& request, asio::steady_timer timer, ResponseHook hook)
      : m_request(request),
        m_timer(std::move(timer)),
        m_on_response(std::move(hook)) {}

  // Calls the hook with `result`. Does nothing if it was called before.
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
  // Stream ID; zero until the request was submitted to a connection.
  std::int32_t m_stream = 0;
  // Whether a part of the request may have been sent.
  bool m_sent = false;
  std::chrono::steady_clock::time_point m_sent_at;
  Response m_response;
  std::size_t m_response_bytes = 0;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_EXCHANGE_H_
