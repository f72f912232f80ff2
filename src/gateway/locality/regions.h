#ifndef SRC_GATEWAY_LOCALITY_REGIONS_H_
#define SRC_GATEWAY_LOCALITY_REGIONS_H_

#include <map>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// The region of each availability zone. Traffic between two regions shares one
// link, which is slower than those inside a region and costs money.
//
// In a deployment of one region, or one whose settings name none, all zones are
// in the same region.
class Regions {
 public:
  friend bool operator==(const Regions&, const Regions&) = default;

  Regions() = default;
  explicit Regions(std::map<ZoneName, RegionName> regions);

  // Returns the region of a zone. All zones that the settings do not name are
  // in one region, which has an empty name.
  RegionName RegionOf(const ZoneName& zone) const;

  // Returns whether two zones are in the same region.
  bool AreTogether(const ZoneName& a, const ZoneName& b) const;

  // Returns whether there are several regions.
  bool are_several() const { return m_are_several; }

 private:
  std::map<ZoneName, RegionName> m_regions;
  bool m_are_several = false;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_LOCALITY_REGIONS_H_
