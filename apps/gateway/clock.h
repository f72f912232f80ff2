#ifndef APPS_GATEWAY_CLOCK_H_
#define APPS_GATEWAY_CLOCK_H_

#include <cstdint>

#include "jasminelug/gateway.h"

namespace jasminelug::gateway_app {

// Returns the time of a monotonic clock that also advances while the machine is
// suspended.
gateway::Time Now();

// Returns the processor time that the process has used since its start.
gateway::Duration ProcessorTime();

// Returns the incarnation of a run that begins now. It is higher than that of
// an earlier run of the same instance.
gateway::Incarnation NewIncarnation();

// Returns whole milliseconds, as log lines contain them.
std::int64_t ToMilliseconds(gateway::Duration duration);

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_CLOCK_H_
