// jasminelugd: the database proxy's daemon.

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include "apps/jasminelugd/daemon.h"
#include "apps/jasminelugd/settings.h"
#include "jasminelug/common.h"

namespace jasminelug::daemon {
namespace {

// Exit codes; --help lists them.
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

constexpr const char* kExitCodes =
    "Exit codes: 0 stopped as asked, 1 cannot listen or run, 2 wrong "
    "arguments, 3 wrong settings.\n"
    "Example: jasminelugd --settings /etc/jasminelug/settings.json\n";

struct Arguments {
  std::string m_settings;
  bool m_check_only = false;
};

int Fail(int code, const std::string& message) {
  std::fprintf(stderr, "jasminelugd: %s\n", message.c_str());
  return code;
}

// Parses the command line into `arguments`. Returns an exit code if the process
// should end without running the daemon.
std::optional<int> ParseArguments(int argc,
                                  const char** argv,
                                  Arguments* arguments) {
  char* settings = nullptr;
  char* check = nullptr;
  int version = 0;
  int help = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "run with the settings of this file", "FILE"},
      {"check-settings", 'c', POPT_ARG_STRING, &check, 0,
       "check the settings of this file and exit", "FILE"},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help", nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("jasminelugd", argc, argv, options, 0), poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> settings_owner(settings,
                                                                   std::free);
  const std::unique_ptr<char, decltype(&std::free)> check_owner(check,
                                                                std::free);
  if (result < -1) {
    return Fail(kExitUsage, std::string(poptBadOption(context.get(), 0)) +
                                ": " + poptStrerror(result));
  }
  if (const char* extra = poptGetArg(context.get())) {
    return Fail(kExitUsage, std::string(extra) + ": unexpected argument");
  }
  if (help != 0) {
    poptPrintHelp(context.get(), stdout, 0);
    std::fputs(kExitCodes, stdout);
    return kExitDone;
  }
  if (version != 0) {
    std::printf("jasminelugd %s\n", JASMINELUG_VERSION);
    return kExitDone;
  }
  if ((settings == nullptr) == (check == nullptr)) {
    return Fail(kExitUsage, "give either --settings or --check-settings");
  }
  arguments->m_check_only = check != nullptr;
  arguments->m_settings = check != nullptr ? check : settings;
  return std::nullopt;
}

Result<Settings, FieldErrors> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return FieldErrors{{path, "cannot be read"}};
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseSettings(text);
}

int Main(int argc, const char** argv) {
  Arguments arguments;
  if (const auto code = ParseArguments(argc, argv, &arguments)) {
    return *code;
  }
  const auto settings = ReadSettings(arguments.m_settings);
  if (!IsOk(settings)) {
    return Fail(kExitSettings, FormatFieldErrors(GetError(settings)));
  }
  if (arguments.m_check_only) {
    std::printf("%s: the settings are good\n", arguments.m_settings.c_str());
    return kExitDone;
  }
  Daemon daemon(GetValue(settings));
  const auto started = daemon.Start();
  if (!IsOk(started)) {
    return Fail(kExitFailed, GetError(started).m_message);
  }
  daemon.Run();
  return kExitDone;
}

}  // namespace
}  // namespace jasminelug::daemon

int main(int argc, const char** argv) {
  return jasminelug::daemon::Main(argc, argv);
}
