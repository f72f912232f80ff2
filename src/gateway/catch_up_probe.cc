#include "src/gateway/catch_up_probe.h"

#include <algorithm>

namespace jasminelug::gateway {

std::vector<MemberId> CatchUpProbe::TakeDueRequests(const GroupCondition& group,
                                                    Time now) {
  if (m_primary != group.m_primary) {
    *this = CatchUpProbe();
    m_primary = group.m_primary;
  }
  if (!m_primary || (m_requested && now - *m_requested < kRequestInterval)) {
    return {};
  }
  m_requested = now;
  std::vector<MemberId> members = group.m_candidates;
  members.push_back(*m_primary);
  return members;
}

void CatchUpProbe::OnStatus(const MemberId& member,
                            const MemberStatus& status) {
  if (member == m_primary && !m_first_position) {
    m_first_position = status.m_received;
  }
  m_positions.insert_or_assign(member, status.m_received);
}

bool CatchUpProbe::IsFollowed(const GroupCondition& group) const {
  if (!m_first_position || m_primary != group.m_primary) {
    return false;
  }
  return std::any_of(group.m_candidates.begin(), group.m_candidates.end(),
                     [this](const MemberId& candidate) {
                       const auto position = m_positions.find(candidate);
                       return position != m_positions.end() &&
                              position->second >= *m_first_position;
                     });
}

}  // namespace jasminelug::gateway
