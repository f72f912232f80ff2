#ifndef SRC_GATEWAY_COPY_LAG_H_
#define SRC_GATEWAY_COPY_LAG_H_

#include <optional>

#include "src/gateway/ids.h"
#include "src/gateway/revision.h"

namespace jasminelug::gateway {

// Decides when an instance that follows the store calls it to verify one copy,
// because another copy shows that the store has changed since.
//
// Serves the copy of the instances' entries, whose watch waits for a long time:
// if the watch or its answer is lost, the instance does not learn that its own
// entry was removed, although it still verifies the replacement record. All
// objects share the store's revisions, so that a copy that is complete up to
// the revision of the verified copy lacks nothing that the store contained when
// that one was verified. See also: StoreFollower, InstanceRegistrar.
class CopyLag {
 public:
  // A copy may lack a revision of the verified copy for this time. Changes of
  // other objects then cause at most one call in this time.
  static constexpr Duration kMaxLag = 2s;

  // Returns whether the copy, which is complete up to the revision `complete`,
  // has lacked a revision of the verified copy for kMaxLag, and then waits for
  // it anew. Must be called on every tick.
  bool TakeOverdue(Revision complete, Revision verified, Time now);

 private:
  // Revision that the copy lacks, and the time since which it is known.
  std::optional<Revision> m_lacked;
  Time m_since;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_COPY_LAG_H_
