#include "src/gateway/locality/regions.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {

Regions::Regions(std::map<ZoneName, RegionName> regions)
    : m_regions(std::move(regions)) {
  m_are_several =
      std::any_of(m_regions.begin(), m_regions.end(), [this](const auto& zone) {
        return zone.second != m_regions.begin()->second;
      });
}

RegionName Regions::RegionOf(const ZoneName& zone) const {
  const auto found = m_regions.find(zone);
  return found == m_regions.end() ? RegionName() : found->second;
}

bool Regions::AreTogether(const ZoneName& a, const ZoneName& b) const {
  return !m_are_several || RegionOf(a) == RegionOf(b);
}

}  // namespace jasminelug::gateway
