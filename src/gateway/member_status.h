#ifndef SRC_GATEWAY_MEMBER_STATUS_H_
#define SRC_GATEWAY_MEMBER_STATUS_H_

#include <optional>

#include "src/gateway/ids.h"
#include "src/gateway/member.h"

namespace jasminelug::gateway {

// A member's answer to a status request.
struct MemberStatus {
  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;

  MemberRole m_role = MemberRole::kReplica;
  Term m_term;
  // End of the log that the member has received. The member may not have
  // applied all of it yet.
  LogPosition m_received;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_STATUS_H_
