#ifndef SRC_GATEWAY_MEMBER_H_
#define SRC_GATEWAY_MEMBER_H_

#include <cstdint>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// What a member takes itself to be.
enum class MemberRole { kPrimary, kReplica };

// A member of a database group, as it announces itself.
struct Member {
  friend bool operator==(const Member&, const Member&) = default;

  MemberId m_id;
  GroupName m_group;
  Address m_address;
  ZoneName m_zone;
  // Statements that it runs at a time.
  int m_slots = 1;
  MemberRole m_role = MemberRole::kReplica;
  // It leaves soon and takes no new work.
  bool m_draining = false;
  // Milliseconds of the Unix epoch at its start; a later value under the same
  // id is a member that has forgotten everything.
  std::int64_t m_started_at_ms = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_H_
