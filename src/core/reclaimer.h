#ifndef SRC_CORE_RECLAIMER_H_
#define SRC_CORE_RECLAIMER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "src/core/context.h"
#include "src/core/lease_watch.h"
#include "src/core/own_lease.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Reclaims the leases of unresponsive holders by deleting their lease objects.
// A lease object is deleted only after the holder can no longer use its shares,
// which takes these steps:
//
// 1. The lease lapses: its object has not changed for the whole lease duration,
//    seen in uninterrupted contact with the platform.
// 2. The lease extensions end: a majority of the lease's cell has revoked that
//    version or has stopped, and the time for which an earlier extension counts
//    has passed.
// 3. Credit that the holder transferred last expires.
// 4. The object is deleted on condition that it still has that version. If a
//    renewal took effect without being seen, the deletion fails.
//
// After that any instance may remove the rows of the holder.
class Reclaimer {
 public:
  // Returns whether a share table names the instance.
  using NamesHolder = std::function<bool(const InstanceId&)>;

  // Handles a request to this instance itself, which may be a member of the
  // cell.
  using LocalRevocation =
      std::function<LeaseRevocationAnswer(const LeaseRevocationRequest&, Time)>;

  // `leases` must outlive this object.
  Reclaimer(PeerSender self,
            const LeaseWatch& leases,
            NamesHolder names_holder,
            LocalRevocation local_revocation)
      : m_self(std::move(self)),
        m_leases(leases),
        m_names_holder(std::move(names_holder)),
        m_local_revocation(std::move(local_revocation)) {}

  // Deletes lease objects without requesting revocations first. For tests only,
  // which check that the resulting fault is noticed.
  void SetMutation(bool skip_revocation) {
    m_skip_revocation = skip_revocation;
  }

  void OnTick(Context& context);

  void OnLeaseRevocationAnswer(const PeerSender& from,
                               const LeaseRevocationAnswer& answer);

  // Handles that the address of `peer` refused a connection. No process of the
  // peer runs, so it grants no more lease extensions.
  void OnPeerStopped(const InstanceId& peer);

  // Returns whether this object sent `call`.
  bool IsWaitingFor(CallId call) const { return m_calls.contains(call); }

  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context);

 private:
  struct Attempt {
    uint64_t m_version = 0;
    Time m_start;
    Time m_next_attempt;
    // Number of the revocation request. Random, so that no answer to an earlier
    // process matches.
    uint64_t m_number = 0;
    // Members of the cell that have revoked the lease or have stopped.
    std::set<PeerSender> m_revoked;
    std::optional<Time> m_majority_since;
    std::optional<CallId> m_delete_call;
  };

  void Advance(const InstanceId& holder, Attempt& attempt, Context& context);
  void CountStoppedMembers(const LeaseCell& cell, Attempt& attempt) const;
  void RequestRevocations(const InstanceId& holder,
                          const ObservedLease& lease,
                          Attempt& attempt,
                          Context& context);
  void Delete(const InstanceId& holder, Attempt& attempt, Context& context);

  PeerSender m_self;
  const LeaseWatch& m_leases;
  NamesHolder m_names_holder;
  LocalRevocation m_local_revocation;
  bool m_skip_revocation = false;
  std::map<InstanceId, Attempt> m_attempts;
  std::map<CallId, InstanceId> m_calls;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_RECLAIMER_H_
