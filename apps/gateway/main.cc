// Program jasminelug-gateway: serves sessions of callers over the statement
// protocol.

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

#include "apps/gateway/gateway_process.h"
#include "apps/gateway/settings.h"
#include "jasminelug/common.h"

namespace jasminelug::gateway_app {
namespace {

// Exit codes; --help lists them.
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

constexpr char kSettingsVariable[] = "JASMINELUG_CONFIG";
constexpr char kExitCodes[] =
    "Without --settings, the file is the one that JASMINELUG_CONFIG names.\n"
    "Exit codes: 0 stopped as asked, 1 cannot listen or run, 2 wrong "
    "arguments, 3 wrong settings.\n"
    "Example: jasminelug-gateway --settings /etc/jasminelug/settings.json\n";

struct Arguments {
  std::string m_settings;
  bool m_check_only = false;
};

int Fail(int code, const std::string& message) {
  std::fprintf(stderr, "jasminelug-gateway: %s\n", message.c_str());
  return code;
}

// Parses the command line. Returns the exit code if the process is to exit at
// once, otherwise nullopt.
std::optional<int> ParseArguments(int argc,
                                  const char** argv,
                                  Arguments* arguments) {
  char* settings = nullptr;
  int check = 0;
  int version = 0;
  int help = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "run with the settings of this file", "FILE"},
      {"check-settings", 'c', POPT_ARG_NONE, &check, 0,
       "check the settings and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help", nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("jasminelug-gateway", argc, argv, options, 0),
      poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> owner(settings, std::free);
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
    std::printf("jasminelug-gateway %s\n", JASMINELUG_VERSION);
    return kExitDone;
  }
  const char* named = std::getenv(kSettingsVariable);
  if (!settings && !named) {
    return Fail(kExitUsage, "no settings file; see --help");
  }
  arguments->m_settings = settings ? settings : named;
  arguments->m_check_only = check != 0;
  return std::nullopt;
}

int Run(const Arguments& arguments) {
  const Result<Settings, FieldErrors> settings =
      ReadSettingsFile(arguments.m_settings);
  if (!IsOk(settings)) {
    return Fail(kExitSettings, FormatFieldErrors(GetError(settings)));
  }
  if (arguments.m_check_only) {
    std::puts("settings are in order");
    return kExitDone;
  }
  LogOptions options;
  options.m_instance = GetValue(settings).m_instance;
  options.m_stream = LogStream::kStandardOutput;
  options.m_level = log4cplus::getLogLevelManager().fromString(
      GetValue(settings).m_log_level);
  const Logging logging(options);
  try {
    GatewayProcess process(GetValue(settings), [&arguments] {
      return ReadSettingsFile(arguments.m_settings);
    });
    const int code = process.Run();
    std::fflush(stdout);
    // Exits without destructors: joining the idle threads of the logger can
    // take longer than the platform allows for the exit, and no state in memory
    // needs to be saved.
    std::quick_exit(code);
  } catch (const std::system_error& error) {
    return Fail(kExitFailed, error.what());
  }
}

}  // namespace
}  // namespace jasminelug::gateway_app

int main(int argc, const char** argv) {
  namespace app = jasminelug::gateway_app;
  app::Arguments arguments;
  const std::optional<int> code = app::ParseArguments(argc, argv, &arguments);
  return code ? *code : app::Run(arguments);
}
