#ifndef SRC_GATEWAY_EVACUATED_ZONES_H_
#define SRC_GATEWAY_EVACUATED_ZONES_H_

#include <map>
#include <set>

#include "src/gateway/ids.h"
#include "src/gateway/store_follower.h"

namespace jasminelug::gateway {

// Holds the availability zones whose members accept no new work.
//
// A store that is restored from a backup may have lost an evacuation, which the
// operators write again. A zone that was evacuated in the lost history stays so
// for kRewriteTime.
class EvacuatedZones {
 public:
  static constexpr Duration kRewriteTime = 10s;

  // Handles the current entries of the store, as of its revision `complete`.
  void OnEntries(const StoreObjects& objects, Revision complete, Time now);

  // Ends the evacuations that were not written again in time. Returns whether
  // there were any.
  bool OnTick(Time now);

  // Returns the zones in evacuation.
  std::set<ZoneName> Zones() const;

 private:
  std::set<ZoneName> m_listed;
  // Zones that only the lost history contained, with the end of their time.
  std::map<ZoneName, Time> m_lost;
  StoreEpoch m_epoch;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_EVACUATED_ZONES_H_
