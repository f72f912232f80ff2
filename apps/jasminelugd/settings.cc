#include "apps/jasminelugd/settings.h"

#include <asio/ip/address.hpp>

#include <system_error>

namespace jasminelug::daemon {
namespace {

// Returns whether `name` may be used in addresses, tokens and the platform's
// objects.
bool IsPlainName(const std::string& name) {
  constexpr std::size_t kMaxNameBytes = 100;
  if (name.empty() || name.size() > kMaxNameBytes) {
    return false;
  }
  return name.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "-_ ") == std::string::npos;
}

bool IsLoopback(const std::string& address) {
  std::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  return !error && parsed.is_loopback();
}

void ReadAddress(ObjectReader& reader, ListenAddress* address) {
  reader.Required("address", &address->m_address);
  reader.Required("port", &address->m_port);
  std::error_code error;
  asio::ip::make_address(address->m_address, error);
  reader.Check(!error, "address", "must be an IP address");
}

void ReadTls(ObjectReader& reader, TlsSettings* tls) {
  reader.Required("certificate", &tls->m_certificate);
  reader.Required("private_key", &tls->m_private_key);
  reader.Required("authority", &tls->m_authority);
}

void ReadSeed(ObjectReader& reader, SeedSettings* seed) {
  reader.Required("instance", &seed->m_instance);
  reader.Required("address", &seed->m_address);
}

void CheckTransport(ObjectReader& reader, const Settings& settings) {
  if (settings.m_insecure_loopback) {
    reader.Check(IsLoopback(settings.m_callers.m_address), "insecure_loopback",
                 "is allowed only if callers.address is a loopback address");
    reader.Check(IsLoopback(settings.m_peers.m_address), "insecure_loopback",
                 "is allowed only if peers.address is a loopback address");
    reader.Check(IsLoopback(settings.m_operators.m_address),
                 "insecure_loopback",
                 "is allowed only if operators.address is a loopback "
                 "address");
    return;
  }
  reader.Check(!settings.m_caller_tls.m_certificate.empty(), "caller_tls",
               "is required unless insecure_loopback is true");
  reader.Check(!settings.m_peer_tls.m_certificate.empty(), "peer_tls",
               "is required unless insecure_loopback is true");
}

void ReadSettings(ObjectReader& reader, Settings* settings) {
  reader.Required("instance", &settings->m_instance);
  reader.Required("zone", &settings->m_zone);
  reader.Check(IsPlainName(settings->m_instance), "instance",
               "must be 1 to 100 letters, digits, '-', '_' or spaces");
  reader.Check(IsPlainName(settings->m_zone), "zone",
               "must be 1 to 100 letters, digits, '-', '_' or spaces");
  reader.RequiredObject<ListenAddress>("callers", &settings->m_callers,
                                       ReadAddress);
  reader.RequiredObject<ListenAddress>("peers", &settings->m_peers,
                                       ReadAddress);
  reader.RequiredObject<ListenAddress>("operators", &settings->m_operators,
                                       ReadAddress);
  reader.RequiredObject<ListenAddress>("platform", &settings->m_platform,
                                       ReadAddress);
  reader.Optional("advertised_peers", &settings->m_advertised_peers);
  reader.Optional("advertised_callers", &settings->m_advertised_callers);
  reader.Objects<SeedSettings>("seeds", &settings->m_seeds, ReadSeed);
  reader.Optional("database_user", &settings->m_database_user);
  reader.Optional("max_body_bytes", &settings->m_max_body_bytes);
  reader.Optional("timeline_events", &settings->m_timeline_events);
  reader.OptionalEnum<std::string>("log_level",
                                   {{"debug", "debug"},
                                    {"info", "info"},
                                    {"warn", "warn"},
                                    {"error", "error"}},
                                   &settings->m_log_level);
  reader.Optional("insecure_loopback", &settings->m_insecure_loopback);
  reader.OptionalObject<TlsSettings>("caller_tls", &settings->m_caller_tls,
                                     ReadTls);
  reader.OptionalObject<TlsSettings>("peer_tls", &settings->m_peer_tls,
                                     ReadTls);
  CheckTransport(reader, *settings);
}

}  // namespace

Result<Settings, FieldErrors> ParseSettings(std::string_view text) {
  return ReadDocument<Settings>(text, JsonComments::kAllowed, ReadSettings);
}

}  // namespace jasminelug::daemon
