#ifndef SRC_PLATFORM_INTERNAL_CALL_SENDER_H_
#define SRC_PLATFORM_INTERNAL_CALL_SENDER_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminelug/http2.h"
#include "src/platform/call_counts.h"
#include "src/platform/client_options.h"

namespace jasminelug::platform::internal {

// Sends the calls of a Client to the platform and counts them.
class CallSender {
 public:
  // The member of CallCounts that a call belongs to.
  using Counter = std::int64_t CallCounts::*;

  CallSender(asio::io_context& io, const ClientOptions& options);

  // Sends a request, with `wait` added to the usual time limit, and increments
  // `counter`. If the request turns out not to have been sent, the counter is
  // decremented again.
  void Call(Counter counter,
            const http2::Request& request,
            std::chrono::milliseconds wait,
            http2::ResponseHook hook);

  // Posts `task` to the io_context, without calling the platform.
  void Post(std::function<void()> task);

  CallCounts Counts() const { return *m_counts; }

 private:
  asio::io_context& m_io;
  const std::chrono::milliseconds m_call_timeout;
  const std::shared_ptr<CallCounts> m_counts = std::make_shared<CallCounts>();
  http2::Client m_client;
};

}  // namespace jasminelug::platform::internal

#endif  // SRC_PLATFORM_INTERNAL_CALL_SENDER_H_
