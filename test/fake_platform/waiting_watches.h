#ifndef TEST_FAKE_PLATFORM_WAITING_WATCHES_H_
#define TEST_FAKE_PLATFORM_WAITING_WATCHES_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "jasminelug/http2.h"

namespace jasminelug::fake_platform {

// The watches that wait for a change.
class WaitingWatches : public std::enable_shared_from_this<WaitingWatches> {
 public:
  // Makes the answer to a watch from a revision.
  using AnswerHook = std::function<http2::Response(std::int64_t since)>;

  WaitingWatches(asio::io_context& io, AnswerHook answer);

  // Keeps a watch until WakeAll(), or until `wait` is over.
  void Add(std::int64_t since,
           std::chrono::milliseconds wait,
           const http2::Responder& responder);

  // Answers all.
  void WakeAll();

  // Answers all with `response`.
  void EndAll(const http2::Response& response);

 private:
  struct Watch {
    std::int64_t m_since;
    http2::Responder m_responder;
    asio::steady_timer m_timer;
  };

  void End(const std::shared_ptr<Watch>& watch);

  asio::io_context& m_io;
  const AnswerHook m_answer;
  std::list<std::shared_ptr<Watch>> m_watches;
};

}  // namespace jasminelug::fake_platform

#endif  // TEST_FAKE_PLATFORM_WAITING_WATCHES_H_
