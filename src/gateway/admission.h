#ifndef SRC_GATEWAY_ADMISSION_H_
#define SRC_GATEWAY_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Load of the members that can run a statement, and of the queue before it.
struct QueueLoad {
  friend bool operator==(const QueueLoad&, const QueueLoad&) = default;

  // Number of queued statements that need the same members and are placed
  // first.
  std::size_t m_waiting = 0;
  // Number of statements that this instance may have in flight to these
  // members, and number of those that it has in flight.
  int m_connections = 0;
  int m_busy = 0;
  // Smoothed time from sending a statement to its answer, averaged over these
  // members.
  Duration m_turnaround{0};
  // Time between two placements of queued statements; see
  // PlacementIntervalEstimator. Unset if the queue is empty or no placement was
  // observed lately.
  std::optional<Duration> m_interval;
};

// Estimates the time between two placements of queued statements.
//
// Open transactions and other instances may occupy most slots and connections
// of a member. The number of slots then overstates the capacity that is left
// for queued statements, so the capacity is measured by their placements.
class PlacementIntervalEstimator {
 public:
  // Records that the queue was empty and receives its first statement at `now`.
  void NoteQueueStart(Time now) { m_last = now; }

  // Records that a queued statement was placed.
  void NotePlaced(Time now);

  // Returns the smoothed interval between placements, but at least the time
  // since the last one, so that a stalled queue shows before its next
  // placement. Returns nullopt if there was no placement for kMaxSampleAge.
  std::optional<Duration> Interval(Time now) const;

  static constexpr Duration kMaxSampleAge = 3s;

 private:
  std::optional<Duration> m_interval;
  Time m_placed;
  Time m_last;
};

// Returns the expected time until a statement that is queued now is answered.
Duration ExpectedAnswerTime(const QueueLoad& load);

// Returns whether a statement may wait in the queue, that is, whether it is
// expected to be answered within `limit`.
//
// Under overload, late answers make callers retry, which adds to the load. A
// statement that cannot be answered in time is therefore refused at once, while
// its caller can still use another instance, and the queue never holds more
// than can be answered within the objective.
//
// A statement that would be the only one may always run, because the turnaround
// is estimated from answers: without it, an estimate that a few slow answers
// raised above the limit would never be corrected.
bool MayWait(const QueueLoad& load, Duration limit);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_ADMISSION_H_
