#ifndef SRC_GATEWAY_CANDIDATE_CHOICE_H_
#define SRC_GATEWAY_CANDIDATE_CHOICE_H_

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "src/gateway/group_condition.h"
#include "src/gateway/ids.h"
#include "src/gateway/member_status.h"

namespace jasminelug::gateway {

// What is known of a group's members when one of them is to be promoted.
struct CandidateInputs {
  friend bool operator==(const CandidateInputs&,
                         const CandidateInputs&) = default;

  GroupCondition m_group;
  // The statuses that members have reported since the old primary is unused.
  std::map<MemberId, MemberStatus> m_statuses;
  // The members whose promotion the platform refused.
  std::vector<MemberId> m_refused;
  // The old primary, if its log can still be compared with those of the
  // candidates: the replacement is planned and the old primary has not failed.
  std::optional<MemberId> m_old_primary;
  bool m_planned = false;
  // Time since the first status was requested.
  Duration m_waited{0};
};

// The statuses do not allow a choice yet.
struct StatusesMissing {
  friend bool operator==(const StatusesMissing&,
                         const StatusesMissing&) = default;
};

// The platform refused every member that may be promoted.
struct AllRefused {
  friend bool operator==(const AllRefused&, const AllRefused&) = default;
};

using CandidateChoice = std::variant<MemberId, StatusesMissing, AllRefused>;

// Chooses the member to promote: the one that has received most of the log.
//
// A group with asynchronous replication has one of its candidates promoted.
// Those that do not answer in time are ignored.
//
// In a group with synchronous replicas, an acknowledged commit may be held by a
// single replica, and that may be a leaving one: a draining member still counts
// as a synchronous replica. All replicas must therefore have answered, and no
// candidate is promoted that lacks what another replica has received. If only a
// leaving replica has it, that one is promoted; a planned replacement follows.
//
// A planned replacement waits until a candidate has received all that the old
// primary has committed. With synchronous replicas, there is no limit to this
// wait: the old primary may have acknowledged commits as a replica, before it
// was promoted, that no other member has received.
CandidateChoice ChooseCandidate(const CandidateInputs& inputs);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CANDIDATE_CHOICE_H_
