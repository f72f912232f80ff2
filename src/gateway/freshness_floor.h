#ifndef SRC_GATEWAY_FRESHNESS_FLOOR_H_
#define SRC_GATEWAY_FRESHNESS_FLOOR_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// A position in the primary's log, and a time such that every commit that was
// acknowledged before it lies at or below the position.
struct FreshnessSample {
  friend bool operator==(const FreshnessSample&,
                         const FreshnessSample&) = default;

  // Time at which the request whose answer contained the position was sent.
  Time m_sent;
  LogPosition m_position;
};

// Computes the log position that a replica must hold so that a read is not
// staler than its route allows.
//
// Why this bounds staleness: a request sent to the primary at time s is
// executed after s, so the position in its answer covers every commit
// acknowledged before s. A replica that holds this position lacks only commits
// acknowledged after s. Of the samples whose s lies within the staleness limit,
// the oldest is the one that most replicas hold, so it is used. A sample is
// redundant if a later sample has the same or a lower position.
class FreshnessFloor {
 public:
  // Adds a sample that was taken from the group's verified primary.
  void Add(const FreshnessSample& sample, Time now);

  // Drops all samples. Called when the primary was replaced.
  void Clear() { m_samples.clear(); }

  // Returns the oldest sample that bounds staleness to `max_staleness` at
  // `now`. Returns nullopt if there is none; the read must then go to the
  // primary.
  std::optional<FreshnessSample> Find(Time now, Duration max_staleness) const;

  // Returns the newest sample, or nullopt if there are none.
  std::optional<FreshnessSample> Newest() const;

 private:
  // Sorted by ascending time, which is also the order of ascending position.
  std::deque<FreshnessSample> m_samples;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FRESHNESS_FLOOR_H_
