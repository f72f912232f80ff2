#ifndef APPS_JASMINELUGD_DUTY_H_
#define APPS_JASMINELUGD_DUTY_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <thread>
#include <utility>

#include "src/common/bounded_ring.h"

namespace jasminelug::daemon {

// A thread that runs an io_context. Work is posted to the io_context. Join()
// stops the io_context and waits for the thread to end.
class DutyThread {
 public:
  DutyThread() : m_guard(asio::make_work_guard(m_io)) {}
  ~DutyThread() { Join(); }

  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  asio::io_context& io() { return m_io; }

  void Start() {
    m_thread = std::thread([this] { m_io.run(); });
  }

  void Stop() { m_io.stop(); }

  void Join() {
    Stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

 private:
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  std::thread m_thread;
};

// Passes values of type T in order from one duty's thread to another's, through
// a bounded ring that wakes the consumer. Values that do not fit into the ring
// are kept in an unbounded queue at the producer, so that no answer of a
// database or of the platform is lost. A producer that can refuse work instead
// checks IsFull() first.
template <typename T>
class Channel {
 public:
  using Handler = std::function<void(T)>;

  explicit Channel(std::size_t capacity) : m_ring(capacity) {}

  // Sets the two ends and the function that receives the values on the
  // consumer's thread. Must be called before either thread starts.
  void Connect(asio::io_context* producer,
               asio::io_context* consumer,
               Handler handler) {
    m_producer = producer;
    m_handler = std::move(handler);
    m_ring.SetWakeHook(
        [this, consumer] { asio::post(*consumer, [this] { Drain(); }); });
  }

  // Returns whether values wait because the ring is full. Must be called on the
  // producer's thread.
  bool IsFull() const { return !m_overflow.empty(); }

  // Sends a value; never blocks. Must be called on the producer's thread.
  void Push(T value) {
    m_overflow.push_back(std::move(value));
    Flush();
  }

 private:
  // Time between attempts to move waiting values into the full ring.
  static constexpr std::chrono::milliseconds kFlushInterval{1};

  void Drain() {
    T value{};
    while (m_ring.TryPop(&value)) {
      m_handler(std::move(value));
    }
  }

  void ScheduleFlush() {
    if (m_is_flush_scheduled) {
      return;
    }
    m_is_flush_scheduled = true;
    auto timer = std::make_shared<asio::steady_timer>(*m_producer);
    timer->expires_after(kFlushInterval);
    timer->async_wait([this, timer](std::error_code) {
      m_is_flush_scheduled = false;
      Flush();
    });
  }

  void Flush() {
    while (!m_overflow.empty()) {
      if (!m_ring.TryPush(std::move(m_overflow.front()))) {
        ScheduleFlush();
        return;
      }
      m_overflow.pop_front();
    }
  }

  BoundedRing<T> m_ring;
  asio::io_context* m_producer = nullptr;
  Handler m_handler;
  std::deque<T> m_overflow;
  bool m_is_flush_scheduled = false;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_DUTY_H_
