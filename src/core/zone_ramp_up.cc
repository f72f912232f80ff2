#include "src/core/zone_ramp_up.h"

#include <algorithm>
#include <chrono>

namespace jasminelug::core {

void ZoneRampUp::OnInstalled(const ConfigurationPtr& configuration,
                             Context& context) {
  for (const auto& [name, zone] : configuration->m_zones) {
    if (zone.m_out) {
      m_zones[name].m_out = true;
    }
  }
  for (auto& [name, history] : m_zones) {
    if (history.m_out && !configuration->IsZoneOut(name)) {
      history.m_out = false;
      history.m_returned = context.Now();
    }
  }
  std::erase_if(m_zones, [&context](const auto& entry) {
    const ZoneHistory& history = entry.second;
    return !history.m_out &&
           context.Now() - history.m_returned >= kZoneRampUpTime;
  });
}

double ZoneRampUp::WorkFraction(const ZoneName& zone,
                                const Context& context) const {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) {
    return 1.0;
  }
  if (found->second.m_out) {
    return 0.0;
  }
  const std::chrono::duration<double> since =
      context.Now() - found->second.m_returned;
  const std::chrono::duration<double> ramp = kZoneRampUpTime;
  return std::clamp(since / ramp, 0.0, 1.0);
}

}  // namespace jasminelug::core
