#ifndef SRC_CORE_PEER_INFO_H_
#define SRC_CORE_PEER_INFO_H_

#include <optional>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Where a peer is expected before anything was learned of it.
struct SeedPeer {
  InstanceId m_id;
  Address m_address;

  friend bool operator==(const SeedPeer&, const SeedPeer&) = default;
};

// What is known of another instance.
struct PeerInfo {
  InstanceId m_id;
  Address m_address;
  ZoneName m_zone;
  // The highest that was seen, in an object or a message; 0 if none was.
  Incarnation m_incarnation;
  bool m_draining = false;
  // True while the platform holds a lease object of the peer.
  bool m_registered = false;
  // True while answers keep coming.
  bool m_live = false;
  // When the last message of the peer arrived; nullopt if none did.
  std::optional<Time> m_last_heard;

  friend bool operator==(const PeerInfo&, const PeerInfo&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_PEER_INFO_H_
