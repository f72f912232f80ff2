#ifndef APPS_JASMINELUGCTL_HELP_H_
#define APPS_JASMINELUGCTL_HELP_H_

namespace jasminelug::ctl {

// Returns the text that --help prints: the options, the commands with an
// example of each, and the exit codes.
const char* HelpText();

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_HELP_H_
