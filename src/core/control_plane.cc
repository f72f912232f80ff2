#include "src/core/control_plane.h"

#include <utility>
#include <variant>

namespace jasminelug::core {

ControlPlane::ControlPlane(const MembershipOptions& options, Hooks hooks)
    : m_hooks(std::move(hooks)),
      m_own_zone(options.m_zone),
      m_own_address(options.m_address),
      m_store(StoreHooks()),
      m_keys(m_store.Current(), m_freshness),
      m_service(options.m_zone),
      m_membership(options, MembershipHooks()) {}

void ControlPlane::Start(Context& context) {
  m_store.Start(context);
  m_membership.Start(context);
}

void ControlPlane::OnTick(Context& context) {
  m_store.OnTick(context);
  m_membership.OnTick(context);
  UpdateService(context);
}

void ControlPlane::OnPlatformAnswered(const PlatformAnswered& event,
                                      Context& context) {
  const CallOwner owner = Context::OwnerOf(event.m_call);
  if (owner == CallOwner::kConfiguration) {
    m_store.OnPlatformAnswered(event.m_call, event.m_answer, context);
  } else if (owner == CallOwner::kMembership) {
    m_membership.OnPlatformAnswered(event.m_call, event.m_answer, context);
  }
  UpdateService(context);
}

bool ControlPlane::OnPeerMessage(const PeerMessageReceived& event,
                                 Context& context) {
  const PeerSender& from = event.m_from;
  if (!m_membership.Accept(from, context)) {
    return false;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&event.m_message)) {
    m_membership.OnHeartbeat(from, *heartbeat, context);
    m_store.OnHeartbeat(from, *heartbeat, context);
  } else if (const auto* objects_request =
                 std::get_if<ObjectsRequest>(&event.m_message)) {
    m_store.OnObjectsRequest(from, *objects_request, context);
  } else if (const auto* relayed =
                 std::get_if<RelayedObjects>(&event.m_message)) {
    m_store.OnRelayedObjects(from, *relayed, context);
  }
  UpdateService(context);
  return true;
}

void ControlPlane::OnPeerUnreachable(const PeerUnreachable& event,
                                     Context& context) {
  m_membership.OnPeerUnreachable(event, context);
}

void ControlPlane::OnShutdownRequested(Context& context) {
  m_service.OnShutdownRequested(context);
  m_membership.OnShutdownRequested(context);
}

ConfigurationStore::Hooks ControlPlane::StoreHooks() {
  ConfigurationStore::Hooks hooks;
  hooks.m_on_installed = [this](const ConfigurationPtr& configuration,
                                Context& context) {
    OnInstalled(configuration, context);
  };
  hooks.m_on_object = [this](const Object& object, Context& context) {
    OnObject(object, context);
  };
  hooks.m_on_advanced = [this](Revision revision, Context& /*context*/) {
    m_freshness.OnInstalled(revision);
  };
  hooks.m_on_confirmed = [this](Time sent, Context& context) {
    m_freshness.OnPlatformConfirmed(sent);
    m_membership.OnConfirmed(sent, context);
  };
  hooks.m_on_contact = m_hooks.m_on_contact;
  return hooks;
}

Membership::Hooks ControlPlane::MembershipHooks() {
  Membership::Hooks hooks;
  hooks.m_peers.m_make_heartbeat = [this](const Context& context) {
    return MakeHeartbeat(context);
  };
  hooks.m_peers.m_on_answer = [this](const PeerSender& from, Time sent,
                                     const Heartbeat& answer,
                                     Context& /*context*/) {
    m_freshness.OnPeerAnswer(from, sent, answer);
  };
  hooks.m_peers.m_on_refused = [this](const InstanceId& peer, Time sent,
                                      Context& /*context*/) {
    m_freshness.OnPeerRefused(peer, sent);
  };
  hooks.m_peers.m_on_known = [this](const InstanceId& peer,
                                    Context& /*context*/) {
    m_freshness.OnPeerKnown(peer);
  };
  hooks.m_peers.m_on_gone = [this](const InstanceId& peer,
                                   Context& /*context*/) {
    m_freshness.OnPeerGone(peer);
  };
  hooks.m_on_lease = m_hooks.m_on_lease;
  hooks.m_on_fenced = [this](Context& context) {
    m_service.OnFenced(context);
    if (m_hooks.m_on_fenced) {
      m_hooks.m_on_fenced(context);
    }
  };
  hooks.m_on_deregistered = m_hooks.m_on_deregistered;
  hooks.m_holds_shares = m_hooks.m_holds_shares;
  return hooks;
}

void ControlPlane::UpdateService(Context& context) {
  m_service.OnKeysConfirmed(m_freshness.IsFresh(context), context);
}

Heartbeat ControlPlane::MakeHeartbeat(const Context& context) const {
  Heartbeat heartbeat;
  heartbeat.m_address = m_own_address;
  heartbeat.m_zone = m_own_zone;
  heartbeat.m_revision = m_store.InstalledRevision();
  heartbeat.m_platform_age = m_freshness.Age(context);
  heartbeat.m_platform_reachable = m_store.IsPlatformReachable(context);
  heartbeat.m_draining = m_service.IsDraining();
  return heartbeat;
}

void ControlPlane::OnInstalled(const ConfigurationPtr& configuration,
                               Context& context) {
  m_service.OnInstalled(configuration, context);
  m_ramp.OnInstalled(configuration, context);
  if (m_hooks.m_on_installed) {
    m_hooks.m_on_installed(configuration, context);
  }
}

void ControlPlane::OnObject(const Object& object, Context& context) {
  if (object.m_key.m_kind == ObjectKind::kInstance) {
    m_membership.OnObject(object, context);
  }
  if (m_hooks.m_on_object) {
    m_hooks.m_on_object(object, context);
  }
}

}  // namespace jasminelug::core
