#ifndef SRC_GATEWAY_PLACEMENT_H_
#define SRC_GATEWAY_PLACEMENT_H_

#include <optional>
#include <vector>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// How a statement obtains a connection to a member.
enum class ConnectionSource {
  kIdle,     // Uses an idle connection of its customer.
  kOpen,     // Opens a connection, which the budget allows.
  kReplace,  // Opens one in place of another customer's idle connection.
};

// A member that could run a statement now.
struct PlacementOption {
  friend bool operator==(const PlacementOption&,
                         const PlacementOption&) = default;

  MemberId m_member;
  ConnectionSource m_source = ConnectionSource::kIdle;
  // Smoothed time from sending a statement to its answer; zero before the first
  // answer.
  Duration m_turnaround{0};
  // Number of statements that this instance has in flight to the member.
  int m_busy = 0;
  int m_slots = 1;
  bool m_same_zone = false;
  bool m_same_region = true;
  // Whether the member is a replica. Reads that a replica can run are kept off
  // the primary, because only the primary can run writes.
  bool m_is_replica = true;
};

// Returns the expected time to an answer. Includes a penalty for reads on the
// primary.
Duration ExpectedTime(const PlacementOption& option);

// Returns the option with the shortest expected time to an answer; nullopt if
// there are no options.
//
// A slow member receives fewer statements, because its smoothed turnaround
// raises its expected time. The time to open a connection is included, because
// opening occupies a slot of the member; this matters for a customer that has
// connections to only a few members.
std::optional<PlacementOption> ChoosePlacement(
    const std::vector<PlacementOption>& options);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PLACEMENT_H_
