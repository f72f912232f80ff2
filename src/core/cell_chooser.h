#ifndef SRC_CORE_CELL_CHOOSER_H_
#define SRC_CORE_CELL_CHOOSER_H_

#include <cstddef>
#include <vector>

#include "src/core/ids.h"
#include "src/core/own_lease.h"
#include "src/core/peer_info.h"

namespace jasminelug::core {

// Maximum number of peers in a lease cell. A lease extension needs a majority
// of the cell, so a cell of five tolerates the loss of two peers. A larger cell
// would add extension requests to every peer.
inline constexpr size_t kMaxCellSize = 5;

// Chooses the peers that may extend the lease of `own_id`. Considers peers that
// are live, registered and not draining, and returns an odd number of them (or
// none), ordered by id. Uses rendezvous hashing, so that the loss of a peer
// outside the cell does not change the cell.
LeaseCell ChooseCell(const InstanceId& own_id,
                     const std::vector<PeerInfo>& peers);

}  // namespace jasminelug::core

#endif  // SRC_CORE_CELL_CHOOSER_H_
