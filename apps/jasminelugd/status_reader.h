#ifndef APPS_JASMINELUGD_STATUS_READER_H_
#define APPS_JASMINELUGD_STATUS_READER_H_

#include "apps/jasminelugd/decision_duty.h"
#include "jasminelug/operators.h"

namespace jasminelug::daemon {

// Read the state of an instance for the operators' API. All functions must be
// called on the decision thread.

operators::StatusReport ReadStatus(DecisionDuty& decision);
operators::TimelineEntries ReadTimeline(DecisionDuty& decision,
                                        const operators::TimelineQuery& query);
operators::MetricsReport ReadMetrics(DecisionDuty& decision);

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_STATUS_READER_H_
