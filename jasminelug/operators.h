#ifndef JASMINELUG_OPERATORS_H_
#define JASMINELUG_OPERATORS_H_

// The operators' JSON API of one instance: status, time line, metrics, and
// switchover of a database.

#include "src/operators/admin_error.h"
#include "src/operators/admin_hooks.h"
#include "src/operators/admin_listener.h"
#include "src/operators/metrics_report.h"
#include "src/operators/status_report.h"
#include "src/operators/switchover_request.h"
#include "src/operators/timeline_entry.h"
#include "src/operators/timeline_query.h"

#endif  // JASMINELUG_OPERATORS_H_
