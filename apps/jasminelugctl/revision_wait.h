#ifndef APPS_JASMINELUGCTL_REVISION_WAIT_H_
#define APPS_JASMINELUGCTL_REVISION_WAIT_H_

#include <cstdint>

#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"

namespace jasminelug::ctl {

// Waits, if --wait is given, until each instance of --admin reports `revision`
// or a later one. Prints progress as messages, and at the end names the
// instances that did not.
ExitCode WaitForRevision(const Invocation& invocation, std::int64_t revision);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_REVISION_WAIT_H_
