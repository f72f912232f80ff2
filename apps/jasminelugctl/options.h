#ifndef APPS_JASMINELUGCTL_OPTIONS_H_
#define APPS_JASMINELUGCTL_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jasminelug/common.h"
#include "jasminelug/operators.h"

namespace jasminelug::ctl {

// Address and port on which a service listens.
struct Endpoint {
  bool operator==(const Endpoint&) const = default;

  // An IP address.
  std::string m_address;
  std::uint16_t m_port = 0;
};

// Returns "address:port".
std::string ToString(const Endpoint& endpoint);

// Holds the parsed command line.
struct Options {
  bool operator==(const Options&) const = default;

  std::optional<Endpoint> m_platform;
  // Admin listeners of instances.
  std::vector<Endpoint> m_admins;
  bool m_json = false;
  bool m_help = false;
  bool m_version = false;
  std::optional<std::chrono::seconds> m_wait;
  operators::TimelineQuery m_timeline;
  // The command, of one or two words, followed by its arguments.
  std::vector<std::string> m_positional_arguments;
};

// Describes why a command line is invalid.
struct UsageError {
  bool operator==(const UsageError&) const = default;

  std::string m_message;
};

// Parses the command line. `argv[0]` is the name of the program.
Result<Options, UsageError> ParseOptions(int argc, const char** argv);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_OPTIONS_H_
