#ifndef SRC_OPERATORS_ADMIN_HOOKS_H_
#define SRC_OPERATORS_ADMIN_HOOKS_H_

#include <functional>

#include "src/common/result.h"
#include "src/operators/admin_error.h"
#include "src/operators/metrics_report.h"
#include "src/operators/status_report.h"
#include "src/operators/switchover_request.h"
#include "src/operators/timeline_entry.h"
#include "src/operators/timeline_query.h"

namespace jasminelug::operators {

// Answers one request. Must be called once, on the io_context's thread, either
// within the hook or later. All copies answer the same request.
template <typename T>
using Reply = std::function<void(const Result<T, AdminError>&)>;

// The functions that an AdminListener calls to handle requests. They are called
// on the io_context's thread. None may be empty.
struct AdminHooks {
  std::function<void(const Reply<StatusReport>&)> m_on_status;
  std::function<void(const TimelineQuery&, const Reply<TimelineEntries>&)>
      m_on_timeline;
  std::function<void(const Reply<MetricsReport>&)> m_on_metrics;
  std::function<void(const SwitchoverRequest&, const Reply<SwitchoverOutcome>&)>
      m_on_switchover;
};

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_ADMIN_HOOKS_H_
