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
  // An IP address in text form; host names are not resolved.
  std::string m_address;
  std::uint16_t m_port = 0;

  bool operator==(const ListenAddress&) const = default;
};

// Paths of the certificate files, all in PEM format.
struct TlsSettings {
  std::string m_certificate;
  std::string m_private_key;
  // Certificate authorities that the other side's certificate is checked
  // against.
  std::string m_authority;

  bool operator==(const TlsSettings&) const = default;
};

// A peer that is asked for the configuration if the platform does not answer.
struct SeedSettings {
  std::string m_instance;
  std::string m_address;

  bool operator==(const SeedSettings&) const = default;
};

// The settings of one daemon, read at its start. docs/SETTINGS.md describes
// each field.
struct Settings {
  std::string m_instance;
  std::string m_zone;
  ListenAddress m_callers;
  ListenAddress m_peers;
  ListenAddress m_operators;
  ListenAddress m_platform;
  // The addresses at which others reach this instance; empty if these are the
  // listening addresses.
  std::string m_advertised_peers;
  std::string m_advertised_callers;
  std::vector<SeedSettings> m_seeds;
  // User name of the database connections.
  std::string m_database_user = "jasminelug";
  std::uint64_t m_max_body_bytes = std::uint64_t{1} << 20U;
  std::uint64_t m_timeline_events = 10'000;
  std::string m_log_level = "info";
  // Whether connections are unencrypted, which is allowed on loopback only.
  bool m_insecure_loopback = false;
  TlsSettings m_caller_tls;
  TlsSettings m_peer_tls;

  bool operator==(const Settings&) const = default;
};

// Parses settings from JSON, in which comments are allowed. Returns all errors,
// each with the name of its field.
Result<Settings, FieldErrors> ParseSettings(std::string_view text);

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_SETTINGS_H_
