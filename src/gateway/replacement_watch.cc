#include "src/gateway/replacement_watch.h"

namespace jasminelug::gateway {
namespace {

bool IsSameReplacement(const std::optional<ReplacementIntent>& a,
                       const std::optional<ReplacementIntent>& b) {
  return a && b && a->m_group == b->m_group &&
         a->m_old_primary == b->m_old_primary;
}

}  // namespace

void ReplacementWatch::Update(const ReplacementRecord& record, Time now) {
  if (!IsSameReplacement(m_intent, record.m_intent)) {
    m_began = now;
    m_noticed.reset();
  }
  m_intent = record.m_intent;
}

std::optional<Duration> ReplacementWatch::Age(Time now) const {
  if (!m_intent) {
    return std::nullopt;
  }
  return now - m_began;
}

bool ReplacementWatch::IsOverdue(Time now) const {
  const std::optional<Duration> age = Age(now);
  return age && *age > kOverdueAge;
}

bool ReplacementWatch::TakeNotice(Time now) {
  const bool noticed = m_noticed && now - *m_noticed < kNoticeInterval;
  if (!IsOverdue(now) || noticed) {
    return false;
  }
  m_noticed = now;
  return true;
}

}  // namespace jasminelug::gateway
