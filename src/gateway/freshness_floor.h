#ifndef SRC_GATEWAY_FRESHNESS_FLOOR_H_
#define SRC_GATEWAY_FRESHNESS_FLOOR_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// A position that the primary's log held, and a time before which every
// acknowledged commit lies at or below it.
struct FreshnessSample {
  friend bool operator==(const FreshnessSample&,
                         const FreshnessSample&) = default;

  // When the request that was answered with the position was sent.
  Time m_sent;
  LogPosition m_position;
};

// Positions that a replica must hold so that a read is not staler than its
// route allows.
//
// Proof: a request sent to the primary at s runs after s, so the position in
// its answer covers every commit acknowledged before s. A replica that holds it
// lacks only commits acknowledged after s. The oldest sample with s within the
// staleness limit is admissible, and the one most replicas hold. A sample for
// which there is a later one at the same or a lower position is of no use.
class FreshnessFloor {
 public:
  // Adds a sample of the proven primary.
  void Add(const FreshnessSample& sample, Time now);

  // Drops all samples: the primary was replaced.
  void Clear() { m_samples.clear(); }

  // Returns the oldest sample that bounds staleness to `max_staleness` at
  // `now`; nullopt where a read must go to the primary.
  std::optional<FreshnessSample> Find(Time now, Duration max_staleness) const;

  // Returns the newest sample, if there is one.
  std::optional<FreshnessSample> Newest() const;

 private:
  // In ascending order of time, and of position.
  std::deque<FreshnessSample> m_samples;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FRESHNESS_FLOOR_H_
