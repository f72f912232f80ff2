#include "apps/jasminelugctl/program.h"

#include <cstddef>
#include <limits>
#include <string>

#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/help.h"
#include "apps/jasminelugctl/options.h"

namespace jasminelug::ctl {
namespace {

// Option that a command requires.
enum class Requirement { kNone, kPlatform, kAdmin };

struct Command {
  const char* m_command;
  // Empty if the command has no subcommands.
  const char* m_subcommand;
  std::size_t m_min_arguments;
  std::size_t m_max_arguments;
  Requirement m_requirement;
  ExitCode (*m_run)(const Invocation&);
};

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

constexpr Command kCommands[] = {
    {"config", "apply", 1, 1, Requirement::kPlatform, ConfigApply},
    {"config", "show", 0, 0, Requirement::kPlatform, ConfigShow},
    {"config", "validate", 1, 1, Requirement::kNone, ConfigValidate},
    {"config", "diff", 1, 1, Requirement::kPlatform, ConfigDiff},
    {"key", "grant", 1, 1, Requirement::kPlatform, KeyGrant},
    {"key", "withdraw", 1, 1, Requirement::kPlatform, KeyWithdraw},
    {"key", "list", 0, 0, Requirement::kPlatform, KeyList},
    {"zone", "out", 1, 1, Requirement::kPlatform, ZoneOut},
    {"zone", "in", 1, 1, Requirement::kPlatform, ZoneIn},
    {"zone", "status", 0, 0, Requirement::kPlatform, ZoneStatus},
    {"profile", "set", 2, kUnlimited, Requirement::kPlatform, ProfileSet},
    {"profile", "list", 0, 0, Requirement::kPlatform, ProfileList},
    {"database", "list", 0, 0, Requirement::kPlatform, DatabaseList},
    {"database", "leave", 1, 1, Requirement::kPlatform, DatabaseLeave},
    {"database", "return", 1, 1, Requirement::kPlatform, DatabaseReturn},
    {"database", "switchover", 2, 2, Requirement::kAdmin, DatabaseSwitchover},
    {"customer", "list", 0, 0, Requirement::kPlatform, CustomerList},
    {"instances", "", 0, 0, Requirement::kPlatform, Instances},
    {"status", "", 0, 0, Requirement::kAdmin, Status},
    {"timeline", "", 0, 0, Requirement::kAdmin, Timeline},
    {"metrics", "", 0, 0, Requirement::kAdmin, Metrics},
};

ExitCode ReportUsage(std::ostream& err, const std::string& message) {
  err << "jasminelugctl: " << message << "; see jasminelugctl --help\n";
  return ExitCode::kUsage;
}

// Returns the number of words of a command without its arguments.
std::size_t CommandLength(const Command& command) {
  return *command.m_subcommand ? 2 : 1;
}

bool Matches(const Command& command,
             const std::vector<std::string>& positional_arguments) {
  const std::size_t count = CommandLength(command);
  return positional_arguments.size() >= count &&
         positional_arguments[0] == command.m_command &&
         (count == 1 || positional_arguments[1] == command.m_subcommand);
}

const Command* FindCommand(
    const std::vector<std::string>& positional_arguments) {
  for (const Command& command : kCommands) {
    if (Matches(command, positional_arguments)) {
      return &command;
    }
  }
  return nullptr;
}

ExitCode RunCommand(const Command& command, const Invocation& invocation) {
  const Options& options = invocation.m_options;
  const std::size_t arguments =
      options.m_positional_arguments.size() - CommandLength(command);
  if (arguments < command.m_min_arguments ||
      arguments > command.m_max_arguments) {
    return ReportUsage(invocation.m_err, "wrong number of arguments");
  }
  if (command.m_requirement == Requirement::kPlatform && !options.m_platform) {
    return ReportUsage(invocation.m_err, "this command needs --platform");
  }
  if (command.m_requirement == Requirement::kAdmin &&
      options.m_admins.empty()) {
    return ReportUsage(invocation.m_err, "this command needs --admin");
  }
  if (options.m_wait && options.m_admins.empty()) {
    return ReportUsage(invocation.m_err, "--wait needs --admin");
  }
  return command.m_run(invocation);
}

}  // namespace

ExitCode RunProgram(int argc,
                    const char** argv,
                    std::ostream& out,
                    std::ostream& err) {
  const Result<Options, UsageError> options = ParseOptions(argc, argv);
  if (!IsOk(options)) {
    return ReportUsage(err, GetError(options).m_message);
  }
  const Invocation invocation = {GetValue(options), out, err};
  if (invocation.m_options.m_help) {
    out << HelpText();
    return ExitCode::kDone;
  }
  if (invocation.m_options.m_version) {
    out << "jasminelugctl " << JASMINELUG_VERSION << "\n";
    return ExitCode::kDone;
  }
  const Command* command =
      FindCommand(invocation.m_options.m_positional_arguments);
  if (!command) {
    return ReportUsage(err, "no such command");
  }
  return RunCommand(*command, invocation);
}

}  // namespace jasminelug::ctl
