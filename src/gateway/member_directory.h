#ifndef SRC_GATEWAY_MEMBER_DIRECTORY_H_
#define SRC_GATEWAY_MEMBER_DIRECTORY_H_

#include <map>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/member.h"
#include "src/gateway/store_follower.h"

namespace jasminelug::gateway {

// The announced members. One that disappears is kept for kRemovalDelay: while
// the store was away entries lapse, and members need that time to renew them.
class MemberDirectory {
 public:
  static constexpr Duration kRemovalDelay = 2500ms;

  // Takes the entries as the store holds them. Entries that are not understood
  // name no member. Returns whether the members have changed.
  bool OnEntries(const StoreObjects& objects, Time now);

  // Drops members whose delay is over. Returns whether any was.
  bool OnTick(Time now);

  // Returns the members that are to be used.
  std::vector<Member> Members() const;

 private:
  std::map<MemberId, Member> m_members;
  // Members that are no longer announced, and since when.
  std::map<MemberId, Time> m_missing;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_DIRECTORY_H_
