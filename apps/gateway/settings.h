#ifndef APPS_GATEWAY_SETTINGS_H_
#define APPS_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelug/common.h"

namespace jasminelug::gateway_app {

// What a process may use of each core, 0 to 1, and how many cores it has.
struct Processors {
  bool operator==(const Processors&) const = default;

  double m_share = 1;
  std::int64_t m_cores = 1;
};

// What one gateway is told when it starts. Addresses are "IP:PORT".
struct Settings {
  bool operator==(const Settings&) const = default;

  std::string m_instance;
  std::string m_zone;
  // Where callers connect.
  std::string m_callers;
  // Where the platform asks for readiness, and scrapers for metrics.
  std::string m_status;
  // IP number and first port of the datagrams between instances.
  std::string m_peer_address;
  std::uint16_t m_peer_port = 0;
  Processors m_processors;
  // The metadata store, and the platform's promotion call.
  std::string m_store;
  std::string m_promotion;
  // A key that was withdrawn longer ago than this is never used.
  std::chrono::milliseconds m_key_withdrawal_limit{5000};
  // From the order to stop until the process is killed.
  std::chrono::milliseconds m_shutdown_limit{6000};
  std::string m_log_level = "info";
};

// Reads settings in JSON with comments. Errors name the field.
Result<Settings, FieldErrors> ParseSettings(std::string_view text);

// Reads the settings of a file.
Result<Settings, FieldErrors> ReadSettingsFile(const std::string& path);

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_SETTINGS_H_
