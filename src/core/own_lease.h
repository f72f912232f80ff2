#ifndef SRC_CORE_OWN_LEASE_H_
#define SRC_CORE_OWN_LEASE_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The cell of a lease: the peers that may extend it, as listed in the lease
// object. A lease extension or a lease revocation counts only if it comes from
// exactly the listed incarnation.
using LeaseCell = std::vector<PeerSender>;

// The confirmed state of this instance's lease object. The membership duty
// passes it to ShareManager::OnOwnLease after each change.
struct OwnLease {
  Incarnation m_incarnation;
  // Number of the uninterrupted series of renewals in this incarnation,
  // starting at 1. It increases when the lease object was found deleted, that
  // is, the lease was reclaimed, and is created again. Shares of an earlier
  // series are lost.
  uint64_t m_series = 0;
  // Version of the object whose write is known to have taken effect; 0 if there
  // is none.
  uint64_t m_version = 0;
  // The cell listed in this version.
  LeaseCell m_cell;
  // The lease is valid before this time, which is the time just before this
  // version's write was sent, plus the lease duration.
  Time m_valid_until;
  Duration m_duration{};
  // Cells of later writes whose outcome is unknown. This includes writes after
  // which a read still showed m_version, because such a write may take effect
  // late. Cleared once a later version is known to be in force.
  std::vector<LeaseCell> m_pending_cells;

  friend bool operator==(const OwnLease&, const OwnLease&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_OWN_LEASE_H_
