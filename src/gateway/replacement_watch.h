#ifndef SRC_GATEWAY_REPLACEMENT_WATCH_H_
#define SRC_GATEWAY_REPLACEMENT_WATCH_H_

#include <optional>

#include "src/gateway/ids.h"
#include "src/gateway/replacement_coordinator.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Tells how long the replacement in the record has taken, and when an operator
// has to be told of it.
//
// A replacement is the same as long as its group and its old primary are the
// same, however often its coordinator changes. The age counts from the time at
// which this instance first read an intent of the replacement.
class ReplacementWatch {
 public:
  // Age from which a replacement is overdue.
  static constexpr Duration kOverdueAge =
      2 * ReplacementCoordinator::kReplacementBound;
  // Time between two notices of the same replacement.
  static constexpr Duration kNoticeInterval = 10s;

  // Handles the current record. Must be called at each change and on each tick.
  void Update(const ReplacementRecord& record, Time now);

  // Returns the age of the replacement, or nullopt if there is none.
  std::optional<Duration> Age(Time now) const;

  // Returns whether the replacement has taken longer than kOverdueAge.
  bool IsOverdue(Time now) const;

  // Returns true if a notice of an overdue replacement is due, and then not
  // again for kNoticeInterval.
  bool TakeNotice(Time now);

 private:
  std::optional<ReplacementIntent> m_intent;
  Time m_began;
  std::optional<Time> m_noticed;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_REPLACEMENT_WATCH_H_
