#ifndef SRC_CORE_CELL_CHOOSER_H_
#define SRC_CORE_CELL_CHOOSER_H_

#include <cstddef>
#include <vector>

#include "src/core/ids.h"
#include "src/core/own_lease.h"
#include "src/core/peer_info.h"

namespace jasminelug::core {

// A cell of five outlives two of its members; a larger one asks more of each.
inline constexpr size_t kMaxCellSize = 5;

// Chooses who may vouch for the lease of `own_id`: an odd number of live,
// registered peers that stay, by rendezvous hashing, so that the cell changes
// only with its members. Returns them in the order of their ids.
LeaseCell ChooseCell(const InstanceId& own_id,
                     const std::vector<PeerInfo>& peers);

}  // namespace jasminelug::core

#endif  // SRC_CORE_CELL_CHOOSER_H_
