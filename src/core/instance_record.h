#ifndef SRC_CORE_INSTANCE_RECORD_H_
#define SRC_CORE_INSTANCE_RECORD_H_

#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The contents of an instance's lease object (ObjectKind::kInstance). The
// object's name is the instance's id.
struct InstanceRecord {
  InstanceId m_id;
  // Address at which the instance accepts messages of its peers.
  Address m_address;
  // Address at which the instance accepts callers.
  Address m_caller_address;
  ZoneName m_zone;
  Incarnation m_incarnation;
  // Number of the unbroken series of renewals; see OwnLease::m_series.
  uint64_t m_series = 1;
  // Duration for which each renewal is valid.
  Duration m_lease{};
  // Peers that may extend the lease while the platform does not answer.
  std::vector<PeerSender> m_cell;
  // Number of renewals in this incarnation.
  uint64_t m_renewal = 0;
  bool m_draining = false;

  friend bool operator==(const InstanceRecord&,
                         const InstanceRecord&) = default;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_INSTANCE_RECORD_H_
