#ifndef SRC_GATEWAY_MEMBER_DIRECTORY_H_
#define SRC_GATEWAY_MEMBER_DIRECTORY_H_

#include <map>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/member.h"
#include "src/gateway/store_follower.h"

namespace jasminelug::gateway {

// Holds the announced members. A member whose entry disappears is kept for
// kRemovalDelay: entries expire while the store is unavailable, and members
// need that time to renew them.
class MemberDirectory {
 public:
  static constexpr Duration kRemovalDelay = 2500ms;

  // Handles the current entries of the store. Entries that cannot be parsed are
  // ignored. Returns whether the members changed.
  bool OnEntries(const StoreObjects& objects, Time now);

  // Removes the members whose removal delay has passed. Returns whether any
  // member was removed.
  bool OnTick(Time now);

  // Returns the members in use, including those within their removal delay.
  std::vector<Member> Members() const;

 private:
  std::map<MemberId, Member> m_members;
  // Members that are no longer announced, with the time at which this was
  // noticed.
  std::map<MemberId, Time> m_missing;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_DIRECTORY_H_
