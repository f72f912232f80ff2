#ifndef SRC_GATEWAY_PRIMARY_DECISION_H_
#define SRC_GATEWAY_PRIMARY_DECISION_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "src/gateway/engine.h"
#include "src/gateway/ids.h"
#include "src/gateway/replacement_coordinator.h"

namespace jasminelug::gateway {

// Tracks which revisions of the replacement record other instances have read.
//
// Serves an instance that the store refuses while it serves the other
// instances. This instance cannot read an intent, but its peers report that
// there is a newer record. It then uses no primary and acknowledges the record,
// so that a replacement does not have to wait until this instance's last
// contact with the store has reached its maximum age. It goes on so until it
// has read the record that it has acknowledged, or a newer one.
class PeerReadRevisions {
 public:
  // A peer that has read a new record usually delivers it within this time.
  static constexpr Duration kGracePeriod = 200ms;

  // Records that another instance has read the record of this revision.
  void RecordPeerRevision(Revision revision, Time now);

  // Records that this instance has read the record of the revision `own`. Must
  // be called before unread(), at each change and on each tick.
  void Update(Revision own, Time now);

  // Returns the newest revision that others have read, if this instance has
  // lacked some newer revision than its own for at least kGracePeriod. Neither
  // further revisions that are reported meanwhile nor an older record that this
  // instance then reads restart the grace period.
  std::optional<Revision> unread() const { return m_unread; }

 private:
  struct PeerRevision {
    Revision m_revision;
    Time m_first_reported;
  };

  static constexpr std::size_t kMaxRevisions = 64;

  // Ordered from oldest to newest.
  std::deque<PeerRevision> m_peer_revisions;
  std::optional<Revision> m_unread;
};

// How an instance may use a group's primary.
struct PrimaryDecision {
  friend bool operator==(const PrimaryDecision&,
                         const PrimaryDecision&) = default;

  PrimaryView m_view;
  // Whether statements in flight to the primary are abandoned.
  bool m_abandon = false;
};

// Returns the primary of a group: the one in the replacement record, otherwise
// the member that declares itself the primary, otherwise `previous`. Only the
// record counts if it lists all groups. The
// primary is not usable while the record has an intent for the group, or while
// there is a newer record that this instance has not read, or while the record
// is from before the store was restored. Transactions that
// are open there may end within ReplacementCoordinator::kPlannedEndLimit if the
// replacement is planned, and are abandoned otherwise.
PrimaryDecision DecidePrimary(const GroupName& group,
                              const ReplacementCoordinator& coordinator,
                              const std::optional<MemberId>& self_declared,
                              const std::optional<MemberId>& previous,
                              bool has_unread_record,
                              Time now);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PRIMARY_DECISION_H_
