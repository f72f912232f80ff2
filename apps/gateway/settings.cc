#include "apps/gateway/settings.h"

#include <fstream>
#include <iterator>
#include <map>
#include <utility>

#include "platform/endpoint.h"

namespace jasminelug::gateway_app {
namespace {

constexpr std::int64_t kMaxPort = 65535;

void ReadAddress(ObjectReader& reader,
                 const std::string& name,
                 std::string* out) {
  reader.Required(name, out);
  reader.Check(adapter::ParseEndpoint(*out).has_value(), name,
               "must be an IP number and a port");
}

void ReadProcessors(ObjectReader& reader, Processors* processors) {
  reader.Optional("share", &processors->m_share);
  reader.Check(processors->m_share > 0, "share", "must be positive");
  reader.Optional("cores", &processors->m_cores);
  reader.Check(processors->m_cores > 0, "cores", "must be positive");
}

// Reads the region of each availability zone.
void ReadZones(ObjectReader& reader, Settings* settings) {
  const nlohmann::json* zones = reader.Find("zones");
  if (!zones) {
    return;
  }
  if (!zones->is_object()) {
    reader.AddError("zones", "must be an object");
    return;
  }
  std::map<gateway::ZoneName, gateway::RegionName> regions;
  for (const auto& [zone, region] : zones->items()) {
    if (region.is_string() && !region.get<std::string>().empty()) {
      regions.emplace(zone, region.get<std::string>());
    } else {
      reader.AddError("zones." + zone, "must be the name of a region");
    }
  }
  settings->m_regions = gateway::Regions(std::move(regions));
}

void ReadSettings(ObjectReader& reader, Settings* settings) {
  reader.Required("instance", &settings->m_instance);
  reader.Check(!settings->m_instance.empty(), "instance", "must not be empty");
  reader.Required("zone", &settings->m_zone);
  ReadZones(reader, settings);
  ReadAddress(reader, "callers", &settings->m_callers);
  ReadAddress(reader, "status", &settings->m_status);
  reader.Required("peer_address", &settings->m_peer_address);
  reader.Check(
      adapter::ParseEndpoint(settings->m_peer_address + ":1").has_value(),
      "peer_address", "must be an IP number");
  std::vector<std::int64_t> ports;
  reader.Required("peer_ports", &ports);
  const bool usable =
      !ports.empty() && ports.front() > 0 && ports.front() <= kMaxPort;
  reader.Check(usable, "peer_ports", "must begin with a port");
  if (usable) {
    settings->m_peer_port = static_cast<std::uint16_t>(ports.front());
  }
  reader.OptionalObject<Processors>("processors", &settings->m_processors,
                                    ReadProcessors);
  reader.OptionalObject<adapter::ProcessLimits>("limits", &settings->m_limits,
                                                adapter::ReadProcessLimits);
  ReadAddress(reader, "store", &settings->m_store);
  ReadAddress(reader, "promotion", &settings->m_promotion);
  reader.Optional("key_withdrawal_limit_ms", &settings->m_key_withdrawal_limit);
  reader.Check(settings->m_key_withdrawal_limit.count() > 0,
               "key_withdrawal_limit_ms", "must be positive");
  reader.Optional("shutdown_limit_ms", &settings->m_shutdown_limit);
  reader.Check(settings->m_shutdown_limit.count() > 0, "shutdown_limit_ms",
               "must be positive");
  reader.OptionalEnum<std::string>("log_level",
                                   {{"debug", "debug"},
                                    {"info", "info"},
                                    {"warn", "warn"},
                                    {"error", "error"}},
                                   &settings->m_log_level);
}

}  // namespace

Result<Settings, FieldErrors> ParseSettings(std::string_view text) {
  return ReadDocument<Settings>(text, JsonComments::kAllowed, ReadSettings);
}

Result<Settings, FieldErrors> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return FieldErrors{{"", "cannot read " + path}};
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseSettings(text);
}

}  // namespace jasminelug::gateway_app
