#include "src/gateway/admission.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Divisor of the weight that a new interval has in the smoothed one.
constexpr int kSmoothing = 8;

}  // namespace

void PlacementIntervalEstimator::NotePlaced(Time now) {
  const Duration interval = now - m_last;
  const bool known = m_interval && now - m_placed < kMaxSampleAge;
  m_interval =
      known ? *m_interval + (interval - *m_interval) / kSmoothing : interval;
  m_placed = now;
  m_last = now;
}

std::optional<Duration> PlacementIntervalEstimator::Interval(Time now) const {
  if (!m_interval || now - m_placed >= kMaxSampleAge) {
    return std::nullopt;
  }
  return std::max(*m_interval, now - m_last);
}

Duration ExpectedAnswerTime(const QueueLoad& load) {
  if (load.m_waiting == 0 && load.m_busy < load.m_connections) {
    return load.m_turnaround;
  }
  if (load.m_interval) {
    const auto ahead = static_cast<std::int64_t>(load.m_waiting) + 1;
    return load.m_turnaround + *load.m_interval * ahead;
  }
  const auto connections = std::max<std::int64_t>(load.m_connections, 1);
  const auto ahead = static_cast<std::int64_t>(load.m_waiting) + 1;
  return load.m_turnaround + load.m_turnaround * ahead / connections;
}

bool MayWait(const QueueLoad& load, Duration limit) {
  const bool is_probe = load.m_waiting == 0 && load.m_busy == 0;
  return is_probe || ExpectedAnswerTime(load) <= limit;
}

}  // namespace jasminelug::gateway
