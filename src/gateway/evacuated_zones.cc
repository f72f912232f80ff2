#include "src/gateway/evacuated_zones.h"

namespace jasminelug::gateway {

void EvacuatedZones::OnEntries(const StoreObjects& objects,
                               Revision complete,
                               Time now) {
  if (complete.epoch() < m_epoch) {
    return;
  }
  if (complete.epoch() > m_epoch) {
    for (const ZoneName& zone : m_listed) {
      m_lost.emplace(zone, now + kRewriteTime);
    }
    m_epoch = complete.epoch();
  }
  m_listed.clear();
  for (const auto& [name, object] : objects) {
    m_listed.emplace(name);
    m_lost.erase(ZoneName(name));
  }
}

bool EvacuatedZones::OnTick(Time now) {
  return std::erase_if(m_lost, [now](const auto& item) {
           return now >= item.second;
         }) > 0;
}

std::set<ZoneName> EvacuatedZones::Zones() const {
  std::set<ZoneName> zones = m_listed;
  for (const auto& [zone, end] : m_lost) {
    zones.insert(zone);
  }
  return zones;
}

}  // namespace jasminelug::gateway
