#ifndef SRC_CORE_LEASE_EXTENSION_MANAGER_H_
#define SRC_CORE_LEASE_EXTENSION_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "src/core/context.h"
#include "src/core/own_lease.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Time for which a lease extension counts, from when the holder sent the
// request.
inline constexpr Duration kLeaseExtensionDuration = 2s;

// Extends this instance's lease through the members of the lease's cell while
// the platform does not answer, and grants extensions for the leases of other
// instances.
//
// A member never extends a lease version that it has revoked, nor an earlier
// one. An extension counts only if it comes from the incarnation that the cell
// lists, so the grants of a member that restarted, and lost its record of
// revocations, do not count.
class LeaseExtensionManager {
 public:
  // The numbers of requests start above `initial_number`, which is random so
  // that no answer to an earlier process matches.
  explicit LeaseExtensionManager(uint64_t initial_number)
      : m_last_number(initial_number) {}

  void OnOwnLease(const OwnLease& lease);

  // Returns whether the lease itself is valid, without extensions.
  bool IsLeaseValid(Time now) const;

  // Returns whether this instance may use its shares: either the lease itself
  // is valid, or a majority of its cell extends it. In the second case a
  // majority of each cell that may be in force is needed.
  bool MayUse(Time now) const;

  // Requests extensions from the cell when the lease is about to expire.
  void OnTick(Context& context);

  void OnLeaseExtensionAnswer(const PeerSender& from,
                              const LeaseExtensionAnswer& answer);

  // Handles the request of a holder.
  LeaseExtensionAnswer OnLeaseExtensionRequest(
      const PeerSender& from,
      const LeaseExtensionRequest& request,
      Time now);

  // Handles the request of a reclaimer. Refuses it while an extension granted
  // here counts, because the holder was alive at the time of the grant.
  LeaseRevocationAnswer OnLeaseRevocationRequest(
      const LeaseRevocationRequest& request,
      Time now);

  const OwnLease& lease() const { return m_lease; }

 private:
  // The version of a lease within one incarnation of its holder.
  struct LeaseVersion {
    Incarnation m_incarnation;
    uint64_t m_version = 0;

    friend auto operator<=>(const LeaseVersion&, const LeaseVersion&) = default;
  };

  struct PendingRequest {
    uint64_t m_number = 0;
    Time m_sent;
  };

  bool HasMajority(const LeaseCell& cell, Time now) const;
  void RequestExtensions(const LeaseCell& cell, Context& context);

  OwnLease m_lease;
  uint64_t m_last_number;
  Time m_next_request;
  std::map<PeerSender, PendingRequest> m_requests;
  std::map<PeerSender, Time> m_extended_until;
  std::map<InstanceId, LeaseVersion> m_revoked;
  std::map<InstanceId, Time> m_extension_granted;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_LEASE_EXTENSION_MANAGER_H_
