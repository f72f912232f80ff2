#ifndef APPS_JASMINELUGCTL_COMMANDS_H_
#define APPS_JASMINELUGCTL_COMMANDS_H_

#include "apps/jasminelugctl/exit_code.h"
#include "apps/jasminelugctl/invocation.h"

namespace jasminelug::ctl {

// The commands of the program; HelpText() describes each. RunProgram() has
// already checked the number of arguments and that the required --platform or
// --admin option is present.

ExitCode ConfigApply(const Invocation& invocation);
ExitCode ConfigShow(const Invocation& invocation);
ExitCode ConfigValidate(const Invocation& invocation);
ExitCode ConfigDiff(const Invocation& invocation);

ExitCode KeyGrant(const Invocation& invocation);
ExitCode KeyWithdraw(const Invocation& invocation);
ExitCode KeyList(const Invocation& invocation);

ExitCode ZoneOut(const Invocation& invocation);
ExitCode ZoneIn(const Invocation& invocation);
ExitCode ZoneStatus(const Invocation& invocation);

ExitCode ProfileSet(const Invocation& invocation);
ExitCode ProfileList(const Invocation& invocation);

ExitCode DatabaseList(const Invocation& invocation);
ExitCode DatabaseLeave(const Invocation& invocation);
ExitCode DatabaseReturn(const Invocation& invocation);
ExitCode DatabaseSwitchover(const Invocation& invocation);

ExitCode CustomerList(const Invocation& invocation);
ExitCode Instances(const Invocation& invocation);

ExitCode Status(const Invocation& invocation);
ExitCode Timeline(const Invocation& invocation);
ExitCode Metrics(const Invocation& invocation);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_COMMANDS_H_
