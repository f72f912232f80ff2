#ifndef APPS_GATEWAY_SETTINGS_H_
#define APPS_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelug/common.h"
#include "jasminelug/gateway.h"
#include "platform/process_limits.h"

namespace jasminelug::gateway_app {

// CPU time available to the process: the fraction of each core that it may use,
// 0 to 1, and the number of cores.
struct Processors {
  bool operator==(const Processors&) const = default;

  double m_share = 1;
  std::int64_t m_cores = 1;
};

// Settings of one gateway process, read when it starts. Addresses have the form
// "IP:PORT".
struct Settings {
  bool operator==(const Settings&) const = default;

  std::string m_instance;
  std::string m_zone;
  gateway::Regions m_regions;
  // Address on which the instance accepts callers.
  std::string m_callers;
  // Address on which the instance serves the platform's readiness probe and the
  // metrics.
  std::string m_status;
  // IP address of this instance for its peers, and the first of the ports
  // reserved there. Both the datagrams and the forwarding connections between
  // instances use this port.
  std::string m_peer_address;
  std::uint16_t m_peer_port = 0;
  Processors m_processors;
  adapter::ProcessLimits m_limits;
  // Addresses of the metadata store and of the platform's promotion service.
  std::string m_store;
  std::string m_promotion;
  // Time after which a withdrawn key must no longer be accepted.
  std::chrono::milliseconds m_key_withdrawal_limit{5000};
  // Time between the request to stop and the moment at which the platform kills
  // the process.
  std::chrono::milliseconds m_shutdown_limit{6000};
  std::string m_log_level = "info";
};

// Parses settings in JSON with comments. Errors name the field.
Result<Settings, FieldErrors> ParseSettings(std::string_view text);

// Reads and parses a settings file.
Result<Settings, FieldErrors> ReadSettingsFile(const std::string& path);

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_SETTINGS_H_
