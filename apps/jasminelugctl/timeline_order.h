#ifndef APPS_JASMINELUGCTL_TIMELINE_ORDER_H_
#define APPS_JASMINELUGCTL_TIMELINE_ORDER_H_

#include <vector>

#include "jasminelug/operators.h"

namespace jasminelug::ctl {

// Merges the time lines of several instances into one that agrees with cause
// and effect as far as the entries tell it:
//
// - entries of one instance keep their order, by incarnation and sequence;
// - that an instance learned of a primary comes after that primary's promotion
//   in the same database and term, where another instance recorded it;
// - all else goes by wall time, which differs between the instances' clocks.
operators::TimelineEntries MergeTimelines(
    const std::vector<operators::TimelineEntries>& timelines);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_TIMELINE_ORDER_H_
