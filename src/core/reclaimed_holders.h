#ifndef SRC_CORE_RECLAIMED_HOLDERS_H_
#define SRC_CORE_RECLAIMED_HOLDERS_H_

#include <map>
#include <optional>

#include "src/core/context.h"
#include "src/core/lease_watch.h"
#include "src/core/share_table.h"

namespace jasminelug::core {

// Records which holders of share table rows have lost their lease because the
// lease object was deleted.
//
// A row whose holder's lease object has not been seen does not prove that the
// lease object was deleted, because the row may have been received first. The
// lease object is then read from the platform. The holder wrote the lease
// object before it wrote the row, so if a later read finds no lease object, it
// was deleted.
class ReclaimedHolders {
 public:
  // `leases` must outlive this object.
  explicit ReclaimedHolders(const LeaseWatch& leases) : m_leases(leases) {}

  bool IsReclaimed(const ShareHolderId& holder) const;

  // Handles a row of a share table. Reads the holder's lease object from the
  // platform if the object has not been seen, or was seen deleted.
  void OnRow(const ShareHolderId& holder, Context& context);

  bool IsWaitingFor(CallId call) const { return m_calls.contains(call); }

  void OnPlatformAnswered(CallId call, const PlatformAnswer& answer);

 private:
  const LeaseWatch& m_leases;
  // For each instance, the latest holder whose lease object was deleted.
  // Earlier incarnations and series of the instance have lost theirs too.
  std::map<InstanceId, ShareHolderId> m_reclaimed;
  std::map<CallId, ShareHolderId> m_calls;
  std::map<InstanceId, Time> m_next_read;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_RECLAIMED_HOLDERS_H_
