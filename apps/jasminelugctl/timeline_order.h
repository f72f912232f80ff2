#ifndef APPS_JASMINELUGCTL_TIMELINE_ORDER_H_
#define APPS_JASMINELUGCTL_TIMELINE_ORDER_H_

#include <vector>

#include "jasminelug/operators.h"

namespace jasminelug::ctl {

// Merges the timelines of several instances into one that respects causality as
// far as it can be derived from the entries:
//
// - Entries of one instance are ordered by incarnation and sequence number.
// - The entry with which an instance learns of a primary follows the promotion
//   of that primary in the same database and term, if any instance recorded the
//   promotion.
// - All other entries are ordered by wall-clock time, although the clocks of
//   the instances may differ.
//
// Entries that an instance delivered more than once appear once.
operators::TimelineEntries MergeTimelines(
    const std::vector<operators::TimelineEntries>& timelines);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_TIMELINE_ORDER_H_
