#ifndef SRC_GATEWAY_GROUP_CONDITION_H_
#define SRC_GATEWAY_GROUP_CONDITION_H_

#include <optional>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/member_table.h"

namespace jasminelug::gateway {

// State of one group at one moment, as seen by this instance.
struct GroupCondition {
  friend bool operator==(const GroupCondition&,
                         const GroupCondition&) = default;

  GroupName m_group;
  // The primary that the instances use, or that they used before the intent.
  std::optional<MemberId> m_primary;
  // All announced members.
  std::vector<MemberId> m_members;
  // Announced members that may be given work, excluding the primary.
  std::vector<MemberId> m_candidates;
  // The other announced members, excluding the primary: they or their
  // availability zones are being drained. They still receive commits.
  std::vector<MemberId> m_leaving_replicas;
  // Whether the primary or its availability zone is being drained.
  bool m_primary_leaving = false;
  // Whether the primary is no longer announced.
  bool m_primary_gone = false;
  // Time since which this instance has failed to reach the primary.
  std::optional<Time> m_failing_since;
  // Whether this instance cannot judge the primary itself: it has no recent
  // answer from the primary and no failed attempt to reach it.
  bool m_not_observed = false;
  // Number of other instances whose recent reports say that the primary is
  // unreachable or reachable.
  int m_others_unreachable = 0;
  int m_others_reachable = 0;
  // Whether no statement of this instance is in flight to the primary.
  bool m_no_statements_in_flight = true;
  int m_sync_replicas = 0;
  // The members that declare themselves to be the primary.
  std::vector<MemberId> m_self_declared;
  // Newest term in an answer of the group's primary; 0 if unknown.
  Term m_newest_term;
};

// Sets the fields of `condition` that tell which members the group has.
// `m_group` and `m_primary` must be set.
void DescribeMembers(const MemberTable& members, GroupCondition* condition);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_GROUP_CONDITION_H_
