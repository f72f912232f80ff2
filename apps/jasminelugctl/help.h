#ifndef APPS_JASMINELUGCTL_HELP_H_
#define APPS_JASMINELUGCTL_HELP_H_

namespace jasminelug::ctl {

// Returns what --help prints: options, exit codes, and an example of each
// command.
const char* HelpText();

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_HELP_H_
