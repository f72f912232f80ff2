#ifndef SRC_GATEWAY_MEMBER_STATUS_H_
#define SRC_GATEWAY_MEMBER_STATUS_H_

#include <optional>

#include "src/gateway/ids.h"
#include "src/gateway/member.h"

namespace jasminelug::gateway {

// What a member says of itself when asked.
struct MemberStatus {
  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;

  MemberRole m_role = MemberRole::kReplica;
  Term m_term;
  // The end of the log that it has received; applied later.
  LogPosition m_received;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_STATUS_H_
