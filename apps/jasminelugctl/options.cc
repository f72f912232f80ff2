#include "apps/jasminelugctl/options.h"

#include <popt.h>

#include <charconv>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <type_traits>
#include <utility>

namespace jasminelug::ctl {
namespace {

using PoptContext = std::unique_ptr<std::remove_pointer_t<poptContext>,
                                    decltype(&poptFreeContext)>;

enum Option : int {
  kPlatform = 1,
  kAdmin,
  kJson,
  kWait,
  kHelp,
  kVersion,
  kRequest,
  kCustomer,
  kDatabase,
  kZone,
};

constexpr std::int64_t kMaxWaitSeconds = 86400;

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0) {
    return std::nullopt;
  }
  return Endpoint{std::string(text.substr(0, colon)), *port};
}

// Appends the endpoints of a comma-separated list to `admins`. Returns whether
// the list is well formed.
bool ReadAdmins(std::string_view text, std::vector<Endpoint>* admins) {
  for (;;) {
    const std::size_t comma = text.find(',');
    const std::optional<Endpoint> endpoint =
        ParseEndpoint(text.substr(0, comma));
    if (!endpoint) {
      return false;
    }
    admins->push_back(*endpoint);
    if (comma == std::string_view::npos) {
      return true;
    }
    text = text.substr(comma + 1);
  }
}

bool ReadWait(const std::string& text, Options* options) {
  const auto seconds = ParseNumber<std::int64_t>(text);
  if (!seconds || *seconds < 0 || *seconds > kMaxWaitSeconds) {
    return false;
  }
  options->m_wait = std::chrono::seconds(*seconds);
  return true;
}

// Stores one option in `options`. Returns whether its argument is well formed.
bool ReadOption(int option, const std::string& text, Options* options) {
  switch (option) {
    case kPlatform:
      options->m_platform = ParseEndpoint(text);
      return options->m_platform.has_value();
    case kAdmin:
      return ReadAdmins(text, &options->m_admins);
    case kJson:
      options->m_json = true;
      return true;
    case kWait:
      return ReadWait(text, options);
    case kHelp:
      options->m_help = true;
      return true;
    case kVersion:
      options->m_version = true;
      return true;
    case kRequest:
      options->m_timeline.m_request = text;
      return true;
    case kCustomer:
      options->m_timeline.m_customer = text;
      return true;
    case kDatabase:
      options->m_timeline.m_database = text;
      return true;
    default:
      options->m_timeline.m_zone = text;
      return true;
  }
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

Result<Options, UsageError> ParseOptions(int argc, const char** argv) {
  const auto with_argument = [](const char* name, int value) {
    return poptOption{name,  0,       POPT_ARG_STRING, nullptr,
                      value, nullptr, nullptr};
  };
  const auto flag = [](const char* name, int value) {
    return poptOption{name, 0, POPT_ARG_NONE, nullptr, value, nullptr, nullptr};
  };
  const poptOption table[] = {with_argument("platform", kPlatform),
                              with_argument("admin", kAdmin),
                              flag("json", kJson),
                              with_argument("wait", kWait),
                              flag("help", kHelp),
                              flag("version", kVersion),
                              with_argument("request", kRequest),
                              with_argument("customer", kCustomer),
                              with_argument("database", kDatabase),
                              with_argument("zone", kZone),
                              POPT_TABLEEND};
  const PoptContext context(
      poptGetContext("jasminelugctl", argc, argv, table, 0), &poptFreeContext);
  Options options;
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> argument(
        poptGetOptArg(context.get()), &std::free);
    const std::string text = argument ? argument.get() : "";
    if (!ReadOption(option, text, &options)) {
      return UsageError{"bad value: " + text};
    }
  }
  if (option < -1) {
    return UsageError{std::string(poptBadOption(context.get(), 0)) + ": " +
                      poptStrerror(option)};
  }
  for (const char** argument = poptGetArgs(context.get());
       argument && *argument; ++argument) {
    options.m_positional_arguments.emplace_back(*argument);
  }
  return options;
}

}  // namespace jasminelug::ctl
