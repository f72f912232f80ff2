#include "src/core/election.h"

#include <algorithm>

namespace jasminelug::core {

void Election::RecordGrantAnswer(const MemberId& member,
                                 const GrantAnswer& answer) {
  if (answer.m_granted) {
    m_grants.insert_or_assign(member, answer.m_received);
  } else {
    ++m_refusals;
  }
}

void Election::OnFailure(const MemberId& /*member*/) {
  ++m_failures;
}

// A member is eligible if its log position is the highest within some majority
// of members that have granted the term. Once a majority has granted, the
// granting member with the highest position of all is always eligible. An
// eligible member that is not avoided takes precedence over avoided ones.
std::optional<Member> Election::Choose(const GroupView& view) const {
  std::optional<MemberId> chosen;
  bool is_chosen_avoided = true;
  for (const auto& [member, position] : m_grants) {
    if (CountUpTo(position) < view.majority()) {
      continue;
    }
    const bool is_avoided = m_avoided.contains(member);
    const bool is_ahead = !chosen || position > m_grants.at(*chosen);
    const bool is_better =
        is_avoided == is_chosen_avoided ? is_ahead : is_chosen_avoided;
    if (!chosen || is_better) {
      chosen = member;
      is_chosen_avoided = is_avoided;
    }
  }
  const MemberView* found = chosen ? view.Find(*chosen) : nullptr;
  return found == nullptr ? std::nullopt
                          : std::optional<Member>(found->m_member);
}

size_t Election::CountUpTo(const LogPosition& position) const {
  return static_cast<size_t>(std::count_if(
      m_grants.begin(), m_grants.end(),
      [&position](const auto& grant) { return grant.second <= position; }));
}

}  // namespace jasminelug::core
