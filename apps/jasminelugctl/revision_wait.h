#ifndef APPS_JASMINELUGCTL_REVISION_WAIT_H_
#define APPS_JASMINELUGCTL_REVISION_WAIT_H_

#include <cstdint>

#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"

namespace jasminelug::ctl {

// If --wait is given, waits until each instance of --admin reports `revision`
// or a later one. Prints progress as messages. When the time of --wait is over,
// names the instances that have not reported it and returns kWaitTimedOut.
// Returns kDone at once if `revision` is 0, since nothing was written then.
ExitCode WaitForRevision(const Invocation& invocation, std::int64_t revision);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_REVISION_WAIT_H_
