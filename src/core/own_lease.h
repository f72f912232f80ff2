#ifndef SRC_CORE_OWN_LEASE_H_
#define SRC_CORE_OWN_LEASE_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The peers that may vouch for a lease's holder, as its lease object lists
// them. A vouch or a denial counts only from exactly the listed incarnation.
using LeaseCell = std::vector<PeerSender>;

// What this instance knows for certain of its own lease object. Membership
// hands it to ShareManager::OnOwnLease after each change.
struct OwnLease {
  Incarnation m_incarnation;
  // Number of the unbroken series of renewals in this incarnation, from 1. It
  // grows when the lease object was found deleted (reclaimed) and is created
  // anew: shares of an earlier series are lost.
  uint64_t m_series = 0;
  // Version whose write is known to have taken effect; 0 if there is none.
  uint64_t m_version = 0;
  // The cell that this version lists.
  LeaseCell m_cell;
  // The lease holds before this time: the time just before this version's
  // write was sent, plus the duration.
  Time m_valid_until;
  Duration m_duration{};
  // Cells of later writes whose outcome is unknown, also where a read back
  // still showed m_version, for such a write may take effect late. Emptied
  // once a later version is known to be in force.
  std::vector<LeaseCell> m_pending_cells;

  friend bool operator==(const OwnLease&, const OwnLease&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_OWN_LEASE_H_
