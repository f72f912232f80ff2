#ifndef SRC_CORE_MEMBERSHIP_H_
#define SRC_CORE_MEMBERSHIP_H_

#include <functional>
#include <vector>

#include "src/core/context.h"
#include "src/core/event.h"
#include "src/core/ids.h"
#include "src/core/instance_reaper.h"
#include "src/core/lease_renewer.h"
#include "src/core/own_lease.h"
#include "src/core/peer_info.h"
#include "src/core/peer_table.h"
#include "src/core/platform_call.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Identity and addresses of this instance, and the peers that it contacts
// first.
struct MembershipOptions {
  InstanceId m_id;
  // Must be higher than the incarnation of every earlier process with this id.
  Incarnation m_incarnation;
  Address m_address;
  Address m_caller_address;
  ZoneName m_zone;
  Duration m_lease = kDefaultLease;
  std::vector<SeedPeer> m_seeds;
};

// Manages this instance's membership in the fleet: its own lease, the table of
// its peers, and the removal of instances that no longer run.
class Membership {
 public:
  struct Hooks {
    PeerTable::Hooks m_peers;
    // Called when the known state of this instance's lease changes.
    std::function<void(const OwnLease&, Context&)> m_on_lease;
    // Called when a newer process runs under this id: this one must stop
    // acting.
    std::function<void(Context&)> m_on_fenced;
    // Called when Deregister() has ended, with or without the deletion of the
    // lease object.
    std::function<void(Context&)> m_on_deregistered;
    // Returns whether any table of shares still lists the instance.
    std::function<bool(const InstanceId&)> m_holds_shares;
  };

  Membership(const MembershipOptions& options, Hooks hooks);

  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Start(Context& context);
  void OnTick(Context& context);

  // Handles an answer to a call of CallOwner::kMembership.
  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context);

  // Handles an object of kind ObjectKind::kInstance.
  void OnObject(const Object& object, Context& context);

  // Records that every change the platform held at `sent` is installed.
  void OnConfirmed(Time sent, Context& context);

  // Returns whether a message may be handled; see PeerTable::Accept().
  bool Accept(const PeerSender& from, Context& context);

  void OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   Context& context);
  void OnPeerUnreachable(const PeerUnreachable& event, Context& context);

  // Tells the peers that this instance is draining and takes no new work.
  void OnShutdownRequested(Context& context);

  // Deletes this instance's lease object, as the last step of a shutdown.
  // Hooks::m_on_deregistered is called after at most kDeregisterLimit.
  void Deregister(Context& context);

  Address AddressOf(const InstanceId& peer) const;
  std::vector<PeerInfo> Peers() const;
  bool IsFenced() const;

 private:
  InstanceId m_own_id;
  PeerTable m_peers;
  LeaseRenewer m_lease;
  InstanceReaper m_reaper;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_MEMBERSHIP_H_
