#include "src/gateway/follower_election.h"

#include <algorithm>

namespace jasminelug::gateway {

Duration FollowerElection::DelayFor(const FollowerCandidate& self) const {
  const Duration by_rank = std::min(self.m_rank, kMaxRankDelays) * kRankDelay;
  if (self.m_rank < kMaxRankDelays) {
    return by_rank;
  }
  const Duration spread = self.m_live_count * kRankDelay / 4;
  return by_rank + std::chrono::duration_cast<Duration>(
                       std::min(spread, Duration(1s)) * m_hooks.m_random());
}

void FollowerElection::OnTick(const FollowerCandidate& self, Time now) {
  if (self.m_rank > 0) {
    m_first_since.reset();
  } else if (!m_first_since) {
    m_first_since = now;
  }
  if (!self.m_contact_age || *self.m_contact_age <= kStaleContactAge) {
    m_next_call.reset();
    m_called = false;
    return;
  }
  m_next_call = m_next_call.value_or(now + DelayFor(self));
  if (now < *m_next_call) {
    return;
  }
  const Duration interval = self.m_live_count * kCallInterval;
  m_next_call = now + std::chrono::duration_cast<Duration>(
                          interval * (0.5 + m_hooks.m_random()));
  m_called = true;
  m_hooks.m_verify();
}

void FollowerElection::OnVerified(Time now) {
  if (m_called) {
    m_called = false;
    m_acting_until = now + kActingTime;
  }
}

bool FollowerElection::follows(Time now) const {
  const bool first = m_first_since && now - *m_first_since >= kSettleTime;
  return first || now < m_acting_until;
}

}  // namespace jasminelug::gateway
