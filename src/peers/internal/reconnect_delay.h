#ifndef SRC_PEERS_INTERNAL_RECONNECT_DELAY_H_
#define SRC_PEERS_INTERNAL_RECONNECT_DELAY_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace jasminelug::peers::internal {

// Exponential delays with jitter, so that daemons that lost the same peer do
// not return to it at the same moment.
class ReconnectDelay {
 public:
  ReconnectDelay(std::chrono::milliseconds min,
                 std::chrono::milliseconds max,
                 std::uint64_t seed);

  // Returns the delay after one more failure: between half and all of
  // min * 2^failures, at most `max`.
  std::chrono::milliseconds Next();

  // Starts again from `min`, after a success.
  void Reset() { m_current = m_min; }

 private:
  const std::chrono::milliseconds m_min;
  const std::chrono::milliseconds m_max;
  std::chrono::milliseconds m_current;
  std::mt19937_64 m_random;
};

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_RECONNECT_DELAY_H_
