#ifndef APPS_GATEWAY_CLOCK_H_
#define APPS_GATEWAY_CLOCK_H_

#include "jasminelug/gateway.h"

namespace jasminelug::gateway_app {

// Returns the time on a monotonic clock that counts suspensions of the machine.
gateway::Time Now();

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_CLOCK_H_
