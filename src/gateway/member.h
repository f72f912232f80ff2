#ifndef SRC_GATEWAY_MEMBER_H_
#define SRC_GATEWAY_MEMBER_H_

#include <cstdint>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Role that a member reports for itself.
enum class MemberRole { kPrimary, kReplica };

// A member of a database group, as announced by the member itself.
struct Member {
  friend bool operator==(const Member&, const Member&) = default;

  MemberId m_id;
  GroupName m_group;
  Address m_address;
  ZoneName m_zone;
  // Number of statements that the member runs concurrently.
  int m_slots = 1;
  MemberRole m_role = MemberRole::kReplica;
  // Whether the member is about to leave and accepts no new work.
  bool m_draining = false;
  // Start time of the member, in milliseconds since the Unix epoch. A later
  // value under the same id means that the member restarted and lost all its
  // state.
  std::int64_t m_started_at_ms = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_H_
