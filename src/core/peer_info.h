#ifndef SRC_CORE_PEER_INFO_H_
#define SRC_CORE_PEER_INFO_H_

#include <optional>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Configured address of a peer, used until the peer's current address is known.
struct SeedPeer {
  InstanceId m_id;
  Address m_address;

  friend bool operator==(const SeedPeer&, const SeedPeer&) = default;
};

// What this instance knows about one of its peers.
struct PeerInfo {
  InstanceId m_id;
  Address m_address;
  ZoneName m_zone;
  // Highest incarnation seen in an object or a message; 0 if there was none.
  Incarnation m_incarnation;
  bool m_draining = false;
  // True while the platform holds a lease object for the peer.
  bool m_registered = false;
  // True while the peer answers heartbeats; see kPeerLostAfter.
  bool m_live = false;
  // Arrival time of the peer's last message; nullopt if there was none.
  std::optional<Time> m_last_heard;

  friend bool operator==(const PeerInfo&, const PeerInfo&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_PEER_INFO_H_
