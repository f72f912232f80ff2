#ifndef SRC_CORE_ZONE_RAMP_UP_H_
#define SRC_CORE_ZONE_RAMP_UP_H_

#include <map>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Time until a zone that returns to service gets its full share of new work.
inline constexpr Duration kZoneRampUpTime = 10s;

// Computes the fraction of new work that each zone gets. A zone that returns
// to service gets gradually more, because the caches of its members are cold
// and its full load at once would overload them.
class ZoneRampUp {
 public:
  // Records which zones have left service and returned to it.
  void OnInstalled(const ConfigurationPtr& configuration, Context& context);

  // Returns 0 for a zone that is out of service, 1 for a zone in full service,
  // and a value that grows linearly from 0 to 1 for a zone that returned less
  // than kZoneRampUpTime ago. A zone that is not configured is in full service.
  double WorkFraction(const ZoneName& zone, const Context& context) const;

 private:
  struct ZoneHistory {
    bool m_out = false;
    Time m_returned;
  };

  // Holds only zones that are out of service or ramping up.
  std::map<ZoneName, ZoneHistory> m_zones;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_ZONE_RAMP_UP_H_
