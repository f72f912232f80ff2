#ifndef SRC_CORE_CONTROL_PLANE_H_
#define SRC_CORE_CONTROL_PLANE_H_

#include <functional>

#include "src/core/configuration_store.h"
#include "src/core/context.h"
#include "src/core/event.h"
#include "src/core/freshness.h"
#include "src/core/key_authorizer.h"
#include "src/core/membership.h"
#include "src/core/service_state.h"
#include "src/core/zone_ramp_up.h"

namespace jasminelug::core {

// Combines the configuration, key checks, fleet membership and readiness of one
// instance, and passes events between them.
class ControlPlane {
 public:
  struct Hooks {
    std::function<void(const ConfigurationPtr&, Context&)> m_on_installed;
    // Receives objects of the kinds kInstance, kShare and kGroup.
    std::function<void(const Object&, Context&)> m_on_object;
    // Called when the platform becomes reachable or unreachable.
    std::function<void(bool reachable, Context&)> m_on_contact;
    std::function<void(const OwnLease&, Context&)> m_on_lease;
    // Called when a newer process runs under this id: this process must stop.
    std::function<void(Context&)> m_on_fenced;
    std::function<void(Context&)> m_on_deregistered;
    // Returns whether any table of shares still lists the instance.
    std::function<bool(const InstanceId&)> m_holds_shares;
  };

  ControlPlane(const MembershipOptions& options, Hooks hooks);

  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  void Start(Context& context);
  void OnTick(Context& context);

  // Handles answers to platform calls owned by CallOwner::kConfiguration and
  // CallOwner::kMembership; ignores answers to calls of other owners.
  void OnPlatformAnswered(const PlatformAnswered& event, Context& context);

  // Handles heartbeats, requests for objects and relayed objects. Returns false
  // if the message must be dropped because an older incarnation of its sender
  // sent it; no other component may handle it then.
  bool OnPeerMessage(const PeerMessageReceived& event, Context& context);

  void OnPeerUnreachable(const PeerUnreachable& event, Context& context);

  // Makes the instance not ready and tells its peers. Requests in progress
  // continue.
  void OnShutdownRequested(Context& context);

  // Deletes the instance's lease object. Call this after the last request has
  // ended. Hooks::m_on_deregistered is called at completion.
  void Deregister(Context& context) { m_membership.Deregister(context); }

  const ConfigurationStore& Store() const { return m_store; }
  const KeyAuthorizer& Keys() const { return m_keys; }
  const ServiceState& Service() const { return m_service; }
  const ZoneRampUp& Ramp() const { return m_ramp; }
  const Membership& Members() const { return m_membership; }
  const Freshness& ConfigurationFreshness() const { return m_freshness; }

 private:
  ConfigurationStore::Hooks StoreHooks();
  Membership::Hooks MembershipHooks();
  void UpdateService(Context& context);
  Heartbeat MakeHeartbeat(const Context& context) const;
  void OnInstalled(const ConfigurationPtr& configuration, Context& context);
  void OnObject(const Object& object, Context& context);

  Hooks m_hooks;
  ZoneName m_own_zone;
  Address m_own_address;
  ConfigurationStore m_store;
  Freshness m_freshness;
  KeyAuthorizer m_keys;
  ServiceState m_service;
  ZoneRampUp m_ramp;
  Membership m_membership;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONTROL_PLANE_H_
