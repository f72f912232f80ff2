#ifndef SRC_PEERS_INTERNAL_RECONNECT_DELAY_H_
#define SRC_PEERS_INTERNAL_RECONNECT_DELAY_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace jasminelug::peers::internal {

// Computes reconnect delays with exponential backoff. Random jitter keeps
// daemons that lost the same peer from reconnecting to it simultaneously.
class ReconnectDelay {
 public:
  ReconnectDelay(std::chrono::milliseconds min,
                 std::chrono::milliseconds max,
                 std::uint64_t seed);

  // Returns the delay before the next attempt: a random time between half the
  // base and the base. The base is min * 2^n after n calls since the last
  // Reset(), but at most `max`.
  std::chrono::milliseconds Next();

  // Resets the base to `min`. Call it after a successful attempt.
  void Reset() { m_current = m_min; }

 private:
  const std::chrono::milliseconds m_min;
  const std::chrono::milliseconds m_max;
  std::chrono::milliseconds m_current;
  std::mt19937_64 m_random;
};

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_RECONNECT_DELAY_H_
