#ifndef APPS_JASMINELUGD_SETTINGS_H_
#define APPS_JASMINELUGD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelug/common.h"

namespace jasminelug::daemon {

// An address to listen at or to connect to.
struct ListenAddress {
  // An IP number.
  std::string m_address;
  std::uint16_t m_port = 0;

  bool operator==(const ListenAddress&) const = default;
};

// Certificate files, all PEM.
struct TlsSettings {
  std::string m_certificate;
  std::string m_private_key;
  // Authorities that the other side's certificate is checked against.
  std::string m_authority;

  bool operator==(const TlsSettings&) const = default;
};

// A peer to ask for the configuration when the platform does not answer.
struct SeedSettings {
  std::string m_instance;
  std::string m_address;

  bool operator==(const SeedSettings&) const = default;
};

// What one daemon is told when it starts. docs/SETTINGS.md describes each.
struct Settings {
  std::string m_instance;
  std::string m_zone;
  ListenAddress m_callers;
  ListenAddress m_peers;
  ListenAddress m_operators;
  ListenAddress m_platform;
  // How others reach this instance, where that is not the listening address.
  std::string m_advertised_peers;
  std::string m_advertised_callers;
  std::vector<SeedSettings> m_seeds;
  // Login of database connections.
  std::string m_database_user = "jasminelug";
  std::uint64_t m_max_body_bytes = std::uint64_t{1} << 20U;
  std::uint64_t m_timeline_events = 10'000;
  std::string m_log_level = "info";
  // Plain connections, which are allowed on loopback only.
  bool m_insecure_loopback = false;
  TlsSettings m_caller_tls;
  TlsSettings m_peer_tls;

  bool operator==(const Settings&) const = default;
};

// Reads settings from JSON with comments. Every error names its field.
Result<Settings, FieldErrors> ParseSettings(std::string_view text);

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_SETTINGS_H_
