#include "src/core/cell_chooser.h"

#include <algorithm>

#include "src/core/rendezvous.h"

namespace jasminelug::core {

LeaseCell ChooseCell(const InstanceId& own_id,
                     const std::vector<PeerInfo>& peers) {
  struct Candidate {
    uint64_t m_weight = 0;
    PeerSender m_peer;
  };
  std::vector<Candidate> candidates;
  for (const PeerInfo& peer : peers) {
    if (peer.m_live && peer.m_registered && !peer.m_draining) {
      candidates.push_back({RendezvousWeight(peer.m_id, own_id.str()),
                            {peer.m_id, peer.m_incarnation}});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.m_weight > b.m_weight;
            });
  size_t size = std::min(candidates.size(), kMaxCellSize);
  // An even number of peers needs a majority as large as the next higher odd
  // number does, and tolerates no more losses than the next lower odd number:
  // drop the last peer.
  if (size > 1 && size % 2 == 0) {
    --size;
  }
  LeaseCell cell;
  for (size_t i = 0; i < size; ++i) {
    cell.push_back(candidates[i].m_peer);
  }
  std::sort(cell.begin(), cell.end());
  return cell;
}

}  // namespace jasminelug::core
