#include "apps/jasminelugctl/program.h"

#include <cstddef>
#include <limits>
#include <string>

#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/help.h"
#include "apps/jasminelugctl/options.h"

namespace jasminelug::ctl {
namespace {

// What a command needs of the command line.
enum class Needs { kNothing, kPlatform, kAdmin };

struct Command {
  const char* m_family;
  // Empty where the family is the whole command.
  const char* m_verb;
  std::size_t m_min_arguments;
  std::size_t m_max_arguments;
  Needs m_needs;
  ExitCode (*m_run)(const Invocation&);
};

constexpr std::size_t kAny = std::numeric_limits<std::size_t>::max();

constexpr Command kCommands[] = {
    {"config", "apply", 1, 1, Needs::kPlatform, ConfigApply},
    {"config", "show", 0, 0, Needs::kPlatform, ConfigShow},
    {"config", "validate", 1, 1, Needs::kNothing, ConfigValidate},
    {"config", "diff", 1, 1, Needs::kPlatform, ConfigDiff},
    {"key", "grant", 1, 1, Needs::kPlatform, KeyGrant},
    {"key", "withdraw", 1, 1, Needs::kPlatform, KeyWithdraw},
    {"key", "list", 0, 0, Needs::kPlatform, KeyList},
    {"zone", "out", 1, 1, Needs::kPlatform, ZoneOut},
    {"zone", "in", 1, 1, Needs::kPlatform, ZoneIn},
    {"zone", "status", 0, 0, Needs::kPlatform, ZoneStatus},
    {"profile", "set", 2, kAny, Needs::kPlatform, ProfileSet},
    {"profile", "list", 0, 0, Needs::kPlatform, ProfileList},
    {"database", "list", 0, 0, Needs::kPlatform, DatabaseList},
    {"database", "leave", 1, 1, Needs::kPlatform, DatabaseLeave},
    {"database", "return", 1, 1, Needs::kPlatform, DatabaseReturn},
    {"database", "switchover", 2, 2, Needs::kAdmin, DatabaseSwitchover},
    {"customer", "list", 0, 0, Needs::kPlatform, CustomerList},
    {"instances", "", 0, 0, Needs::kPlatform, Instances},
    {"status", "", 0, 0, Needs::kAdmin, Status},
    {"timeline", "", 0, 0, Needs::kAdmin, Timeline},
    {"metrics", "", 0, 0, Needs::kAdmin, Metrics},
};

ExitCode ReportUsage(std::ostream& err, const std::string& message) {
  err << "jasminelugctl: " << message << "; see jasminelugctl --help\n";
  return ExitCode::kUsage;
}

std::size_t WordsOf(const Command& command) {
  return *command.m_verb ? 2 : 1;
}

bool Matches(const Command& command, const std::vector<std::string>& words) {
  const std::size_t count = WordsOf(command);
  return words.size() >= count && words[0] == command.m_family &&
         (count == 1 || words[1] == command.m_verb);
}

const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : kCommands) {
    if (Matches(command, words)) {
      return &command;
    }
  }
  return nullptr;
}

ExitCode RunCommand(const Command& command, const Invocation& invocation) {
  const Options& options = invocation.m_options;
  const std::size_t arguments = options.m_words.size() - WordsOf(command);
  if (arguments < command.m_min_arguments ||
      arguments > command.m_max_arguments) {
    return ReportUsage(invocation.m_err, "wrong number of arguments");
  }
  if (command.m_needs == Needs::kPlatform && !options.m_platform) {
    return ReportUsage(invocation.m_err, "this command needs --platform");
  }
  if (command.m_needs == Needs::kAdmin && options.m_admins.empty()) {
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
  const Command* command = FindCommand(invocation.m_options.m_words);
  if (!command) {
    return ReportUsage(err, "no such command");
  }
  return RunCommand(*command, invocation);
}

}  // namespace jasminelug::ctl
