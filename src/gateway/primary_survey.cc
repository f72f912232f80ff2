#include "src/gateway/primary_survey.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {

void PrimarySurvey::Begin(Time now) {
  if (m_began) {
    return;
  }
  m_began = now;
  m_requested.reset();
  m_statuses.clear();
}

void PrimarySurvey::OnStatus(const MemberId& member,
                             const MemberStatus& status,
                             Time requested) {
  if (m_began && requested >= *m_began) {
    m_statuses.insert_or_assign(member, status);
  }
}

bool PrimarySurvey::HaveAnswered(const std::vector<MemberId>& members) const {
  return std::all_of(
      members.begin(), members.end(),
      [this](const MemberId& member) { return m_statuses.contains(member); });
}

bool PrimarySurvey::IsOver(const std::vector<MemberId>& members,
                           Time now) const {
  return m_began && !m_statuses.empty() &&
         (HaveAnswered(members) || now - *m_began > kTimeout);
}

std::vector<MemberId> PrimarySurvey::TakeDueRequests(
    const std::vector<MemberId>& members,
    Time now) {
  if (m_requested && now - *m_requested <= kRequestInterval) {
    return {};
  }
  m_requested = now;
  std::vector<MemberId> due = members;
  std::erase_if(due, [this](const MemberId& member) {
    return m_statuses.contains(member);
  });
  return due;
}

std::optional<MemberId> PrimarySurvey::PrimaryOf(
    const std::vector<MemberId>& group) const {
  if (group.empty() || !HaveAnswered(group)) {
    return std::nullopt;
  }
  const auto rank_of = [this](const MemberId& member) {
    const MemberStatus& status = m_statuses.at(member);
    return std::pair(status.m_term, status.m_role == MemberRole::kPrimary);
  };
  const auto newest =
      std::max_element(group.begin(), group.end(),
                       [&rank_of](const MemberId& left, const MemberId& right) {
                         return rank_of(left) < rank_of(right);
                       });
  const bool leads = rank_of(*newest).second;
  return leads ? std::optional(*newest) : std::nullopt;
}

}  // namespace jasminelug::gateway
