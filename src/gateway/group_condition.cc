#include "src/gateway/group_condition.h"

namespace jasminelug::gateway {

void DescribeMembers(const MemberTable& members, GroupCondition* condition) {
  condition->m_primary_gone = true;
  for (const MemberState* state : members.MembersOf(condition->m_group)) {
    const Member& member = state->m_member;
    condition->m_members.push_back(member.m_id);
    if (member.m_role == MemberRole::kPrimary) {
      condition->m_self_declared.push_back(member.m_id);
    }
    const bool takes_work = members.AcceptsWork(member);
    if (condition->m_primary == member.m_id) {
      condition->m_primary_gone = false;
      condition->m_primary_leaving = !takes_work;
    } else if (takes_work) {
      condition->m_candidates.push_back(member.m_id);
    } else {
      condition->m_leaving_replicas.push_back(member.m_id);
    }
  }
}

}  // namespace jasminelug::gateway
