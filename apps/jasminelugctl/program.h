#ifndef APPS_JASMINELUGCTL_PROGRAM_H_
#define APPS_JASMINELUGCTL_PROGRAM_H_

#include <ostream>

#include "apps/jasminelugctl/exit_code.h"

namespace jasminelug::ctl {

// Runs one command line. Prints results to `out`, messages and progress to
// `err`.
ExitCode RunProgram(int argc,
                    const char** argv,
                    std::ostream& out,
                    std::ostream& err);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_PROGRAM_H_
