#ifndef SRC_GATEWAY_PEER_REPORT_H_
#define SRC_GATEWAY_PEER_REPORT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "src/gateway/customer_limiter.h"
#include "src/gateway/fleet_shares.h"
#include "src/gateway/ids.h"
#include "src/gateway/state_update.h"

namespace jasminelug::gateway {

// Identifies the newest report that the sender received from another instance,
// and how long ago it was received.
struct ReportEcho {
  friend bool operator==(const ReportEcho&, const ReportEcho&) = default;

  InstanceId m_instance;
  Incarnation m_incarnation;
  std::uint64_t m_sequence = 0;
  Duration m_held{0};
};

// A sample of the log position of a group's primary, with its age when the
// report was made.
struct AgedSample {
  friend bool operator==(const AgedSample&, const AgedSample&) = default;

  GroupName m_group;
  Duration m_age{0};
  LogPosition m_position;
};

// A revision of a store object that the sender has verified to be current, with
// the age of its last contact when the report was made.
struct VerifiedRevision {
  friend bool operator==(const VerifiedRevision&,
                         const VerifiedRevision&) = default;

  Revision m_revision;
  Duration m_age{0};
};

// Number of instances of a cell that reach a group's primary, and of those that
// do not.
struct GroupReachability {
  friend bool operator==(const GroupReachability&,
                         const GroupReachability&) = default;

  GroupName m_group;
  int m_reachable = 0;
  int m_unreachable = 0;
};

// Summary of the reports of all instances of a cell. A cell consists of the
// instances of one availability zone.
struct CellDigest {
  friend bool operator==(const CellDigest&, const CellDigest&) = default;

  ZoneName m_zone;
  // Total demand at the live instances of the cell.
  std::vector<CustomerDemand> m_demand;
  std::vector<GroupReachability> m_reachability;
  // Newest revision of the replacement record that all instances of the cell
  // have acknowledged.
  Revision m_acknowledged;
  // StoreFollower::complete() of the sender's copy of the instances' entries:
  // the acknowledgement includes every instance that registered up to it.
  Revision m_instances{};
};

// State of the fleet without the receiver, which a head reports to the other
// instances of its cell.
struct FleetSummary {
  friend bool operator==(const FleetSummary&, const FleetSummary&) = default;

  // Whether all instances have reported recently.
  bool m_complete = false;
  // Load of the customers that have demand anywhere in the fleet.
  std::vector<CustomerLoad> m_loads;
  std::vector<GroupReachability> m_reachability;
};

// State that an instance sends to its peers several times per second.
struct PeerReport {
  friend bool operator==(const PeerReport&, const PeerReport&) = default;

  InstanceId m_sender;
  Incarnation m_incarnation;
  // Address at which the sender accepts messages of other instances.
  Address m_address;
  // Increases with each report of one incarnation.
  std::uint64_t m_sequence = 0;
  std::vector<ReportEcho> m_echoes;
  std::vector<CustomerDemand> m_demand;
  std::vector<AgedSample> m_samples;
  // Groups whose primary the sender cannot reach.
  std::vector<GroupName> m_unreachable;
  // Groups whose primary recently answered the sender.
  std::vector<GroupName> m_reachable;
  // The sender has stopped using the primary that the replacement record of
  // this revision takes out of use.
  Revision m_acknowledged;
  // Verified revisions of the configuration and of the replacement record;
  // unset before the first contact.
  std::optional<VerifiedRevision> m_configuration;
  std::optional<VerifiedRevision> m_replacements;
  // Revisions of the sender's copies of the store's objects.
  std::vector<CopyRevision> m_copies;
  // Whether the sender is a head of its cell.
  bool m_is_head = false;
  // In a report of a head to another cell, the digest of the sender's cell.
  std::vector<CellDigest> m_cells;
  // In a report of a head to an instance of its cell that is no head.
  std::optional<FleetSummary> m_summary{};
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PEER_REPORT_H_
