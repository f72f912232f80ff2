#include "src/gateway/placement.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Expected turnaround of a member that has not answered yet.
constexpr Duration kDefaultTurnaround = 25ms;
// Cost of a new connection: its round trips and the slot that it occupies.
constexpr Duration kOpeningTime = 20ms;
constexpr Duration kCrossZonePenalty = 3ms;
// Added for reads on the primary, because only its slots can run writes.
constexpr Duration kPrimaryReadPenalty = 30ms;

}  // namespace

Duration ExpectedTime(const PlacementOption& option) {
  Duration turnaround = option.m_turnaround;
  if (turnaround == Duration::zero()) {
    turnaround = kDefaultTurnaround;
  }
  const int slots = std::max(option.m_slots, 1);
  Duration time = turnaround + turnaround * option.m_busy / slots;
  if (option.m_source != ConnectionSource::kIdle) {
    time += kOpeningTime;
  }
  if (!option.m_same_zone) {
    time += kCrossZonePenalty;
  }
  if (!option.m_is_replica) {
    time += turnaround + kPrimaryReadPenalty;
  }
  return time;
}

std::optional<PlacementOption> ChoosePlacement(
    const std::vector<PlacementOption>& options) {
  const auto best =
      std::min_element(options.begin(), options.end(),
                       [](const PlacementOption& a, const PlacementOption& b) {
                         return ExpectedTime(a) < ExpectedTime(b);
                       });
  if (best == options.end()) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace jasminelug::gateway
