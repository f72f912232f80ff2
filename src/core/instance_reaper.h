#ifndef SRC_CORE_INSTANCE_REAPER_H_
#define SRC_CORE_INSTANCE_REAPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/instance_record.h"
#include "src/core/lease_renewer.h"
#include "src/core/peer_table.h"
#include "src/core/platform_call.h"
#include "src/core/time.h"

namespace jasminelug::core {

// A lease object is deleted after it has not been renewed for this many times
// its lease duration.
inline constexpr int kLeasesUntilRemoval = 10;

// Deletes the lease objects of instances that have stopped, once no share table
// names them. Each object is deleted by one live instance, chosen by rendezvous
// hashing. If two instances consider themselves chosen, the conditional delete
// of the second one fails.
class InstanceReaper {
 public:
  using HoldsShares = std::function<bool(const InstanceId&)>;

  // `peers` must outlive this object.
  InstanceReaper(InstanceId own_id,
                 const PeerTable& peers,
                 HoldsShares holds_shares);

  // Handles a change or the deletion of an instance's lease object. `record` is
  // its parsed value; null if it could not be parsed.
  void OnObject(const Object& object,
                const InstanceRecord* record,
                Context& context);

  // Handles that every change that the platform had accepted at `sent` is
  // installed: a lease object without a newer change was not renewed before
  // then.
  void OnConfirmed(Time sent) { m_confirmed = sent; }

  void OnTick(Context& context);

  // Returns whether this object sent `call`. The answer needs no further
  // handling.
  bool OnPlatformAnswered(CallId call);

 private:
  struct Watched {
    uint64_t m_version = 0;
    Time m_changed;
    Duration m_lease{};
    Time m_next_try;
  };

  bool HasStopped(const Watched& watched) const;
  bool IsChosen(const InstanceId& stopped) const;

  InstanceId m_own_id;
  const PeerTable& m_peers;
  HoldsShares m_holds_shares;
  std::map<InstanceId, Watched> m_watched;
  std::set<CallId> m_calls;
  std::optional<Time> m_confirmed;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_INSTANCE_REAPER_H_
