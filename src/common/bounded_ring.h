#ifndef SRC_COMMON_BOUNDED_RING_H_
#define SRC_COMMON_BOUNDED_RING_H_

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <functional>
#include <utility>

namespace jasminelug {

// A lock-free FIFO queue of limited capacity from one producer thread to one
// consumer thread. A push to a full ring fails, so that the producer can refuse
// the work instead of blocking.
template <typename T>
class BoundedRing {
 public:
  // Called on the producer's thread after each successful push.
  using WakeHook = std::function<void()>;

  // Allocates storage for `capacity` values. `wake` should notify the
  // consumer's thread that there is a value to pop, for example by asio::post.
  explicit BoundedRing(std::size_t capacity, WakeHook wake = {})
      : m_queue(capacity), m_wake(std::move(wake)) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Replaces the wake hook. To be called before the producer's thread starts.
  void SetWakeHook(WakeHook wake) { m_wake = std::move(wake); }

  // Moves `value` into the ring and calls the wake hook. If the ring is full,
  // returns false and leaves `value` unchanged. Producer thread only.
  [[nodiscard]] bool TryPush(T&& value) {
    if (!m_queue.push(Slot(&value))) {
      return false;
    }
    if (m_wake) {
      m_wake();
    }
    return true;
  }

  // Moves the oldest value to `*value`. Returns false if the ring is empty.
  // Consumer thread only.
  [[nodiscard]] bool TryPop(T* value) {
    return m_queue.consume_one(
        [value](Slot& slot) { *value = std::move(slot.m_value); });
  }

 private:
  // An element of m_queue. spsc_queue only copies its elements, but T may be
  // move-only. The pushed slot therefore refers to the producer's value, and
  // the copy constructor moves that value into the queue's storage. The queue
  // makes this copy only if it is not full, so a failed push keeps the value.
  struct Slot {
    Slot() = default;
    explicit Slot(T* source) : m_source(source) {}
    Slot(const Slot& other) : m_value(std::move(*other.m_source)) {}
    // Only the queue's destructor assigns, to discard the values that were
    // never popped.
    Slot& operator=(const Slot& other) {
      if (this != &other) {
        m_value = T{};
      }
      return *this;
    }

    T* m_source = nullptr;
    T m_value{};
  };

  boost::lockfree::spsc_queue<Slot> m_queue;
  WakeHook m_wake;
};

}  // namespace jasminelug

#endif  // SRC_COMMON_BOUNDED_RING_H_
