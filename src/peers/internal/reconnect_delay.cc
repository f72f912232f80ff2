#include "src/peers/internal/reconnect_delay.h"

#include <algorithm>

namespace jasminelug::peers::internal {

ReconnectDelay::ReconnectDelay(std::chrono::milliseconds min,
                               std::chrono::milliseconds max,
                               std::uint64_t seed)
    : m_min(min), m_max(std::max(min, max)), m_current(min), m_random(seed) {}

std::chrono::milliseconds ReconnectDelay::Next() {
  std::uniform_int_distribution<std::int64_t> jitter(m_current.count() / 2,
                                                     m_current.count());
  const std::chrono::milliseconds delay(jitter(m_random));
  m_current = std::min(m_current * 2, m_max);
  return delay;
}

}  // namespace jasminelug::peers::internal
