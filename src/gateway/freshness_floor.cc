#include "src/gateway/freshness_floor.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Time for which samples are kept. It exceeds every staleness limit in use, so
// older samples serve no read.
constexpr Duration kRetention = 10s;
// Safety margin for timers that fire late and for the time until the first byte
// of the read is sent.
constexpr Duration kMargin = 100ms;

}  // namespace

void FreshnessFloor::Add(const FreshnessSample& sample, Time now) {
  while (!m_samples.empty() && m_samples.front().m_sent < now - kRetention) {
    m_samples.pop_front();
  }
  const auto after = std::upper_bound(
      m_samples.begin(), m_samples.end(), sample.m_sent,
      [](Time sent, const FreshnessSample& s) { return sent < s.m_sent; });
  // A later sample with the same or a lower position gives a tighter bound.
  if (after != m_samples.end() && after->m_position <= sample.m_position) {
    return;
  }
  const auto inserted = m_samples.insert(after, sample);
  auto first = inserted;
  while (first != m_samples.begin() &&
         (first - 1)->m_position >= sample.m_position) {
    --first;
  }
  m_samples.erase(first, inserted);
}

std::optional<FreshnessSample> FreshnessFloor::Find(
    Time now,
    Duration max_staleness) const {
  const Time oldest = now - max_staleness + kMargin;
  const auto found = std::lower_bound(
      m_samples.begin(), m_samples.end(), oldest,
      [](const FreshnessSample& s, Time t) { return s.m_sent < t; });
  if (found == m_samples.end()) {
    return std::nullopt;
  }
  return *found;
}

std::optional<FreshnessSample> FreshnessFloor::Newest() const {
  if (m_samples.empty()) {
    return std::nullopt;
  }
  return m_samples.back();
}

}  // namespace jasminelug::gateway
