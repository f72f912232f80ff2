#ifndef SRC_GATEWAY_CATCH_UP_PROBE_H_
#define SRC_GATEWAY_CATCH_UP_PROBE_H_

#include <map>
#include <optional>
#include <vector>

#include "src/gateway/group_condition.h"
#include "src/gateway/ids.h"
#include "src/gateway/member_status.h"

namespace jasminelug::gateway {

// Finds out whether a candidate receives the log of a primary that is to be
// replaced, before the replacement begins.
//
// From the intent of a replacement on, the old primary is unused. In a group
// with synchronous replicas, a replacement must wait for a candidate that has
// received all commits, and a candidate that receives nothing would leave the
// group without a primary for as long. See also: ChooseCandidate().
class CatchUpProbe {
 public:
  // Minimum time between two status requests to the same member.
  static constexpr Duration kRequestInterval = 200ms;

  // Returns the members whose status has to be requested now.
  std::vector<MemberId> TakeDueRequests(const GroupCondition& group, Time now);

  void OnStatus(const MemberId& member, const MemberStatus& status);

  // Returns whether a candidate has received the log up to the position that
  // the primary first reported.
  bool IsFollowed(const GroupCondition& group) const;

 private:
  std::optional<Time> m_requested;
  std::optional<MemberId> m_primary;
  std::optional<LogPosition> m_first_position;
  std::map<MemberId, LogPosition> m_positions;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CATCH_UP_PROBE_H_
