#ifndef SRC_COMMON_BOUNDED_RING_H_
#define SRC_COMMON_BOUNDED_RING_H_

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <functional>
#include <utility>

namespace jasminelug {

// Carries values from one producer thread to one consumer thread. A full ring
// refuses the value, so that the producer can answer with a refusal of its own.
template <typename T>
class BoundedRing {
 public:
  // Called on the producer's thread after each push that succeeded.
  using WakeHook = std::function<void()>;

  // Makes room for `capacity` values. `wake` tells the consumer's thread that
  // there is something to pop, for example by asio::post.
  explicit BoundedRing(std::size_t capacity, WakeHook wake = {})
      : m_queue(capacity), m_wake(std::move(wake)) {}

  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Replaces the hook; to be called before the producer's thread starts.
  void SetWakeHook(WakeHook wake) { m_wake = std::move(wake); }

  // Moves `value` in and wakes the consumer. Returns false, and leaves `value`
  // as it was, when the ring is full. Producer thread only.
  [[nodiscard]] bool TryPush(T&& value) {
    if (!m_queue.push(Slot(&value))) {
      return false;
    }
    if (m_wake) {
      m_wake();
    }
    return true;
  }

  // Moves the oldest value to `*value`; returns false when there is none.
  // Consumer thread only.
  [[nodiscard]] bool TryPop(T* value) {
    return m_queue.consume_one(
        [value](Slot& slot) { *value = std::move(slot.m_value); });
  }

 private:
  // The queue only copies. The copy that it makes in its own storage moves the
  // value out of the pushed slot's source, and only once there is room.
  struct Slot {
    Slot() = default;
    explicit Slot(T* source) : m_source(source) {}
    Slot(const Slot& other) : m_value(std::move(*other.m_source)) {}
    // The queue's destructor assigns what was never popped, to drop it.
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
