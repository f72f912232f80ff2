#include "src/core/membership.h"

#include <utility>

#include "src/core/cell_chooser.h"
#include "src/core/configuration_codec.h"

namespace jasminelug::core {
namespace {

InstanceRecord MakeRecord(const MembershipOptions& options) {
  InstanceRecord record;
  record.m_id = options.m_id;
  record.m_address = options.m_address;
  record.m_caller_address = options.m_caller_address;
  record.m_zone = options.m_zone;
  record.m_incarnation = options.m_incarnation;
  record.m_lease = options.m_lease;
  return record;
}

}  // namespace

Membership::Membership(const MembershipOptions& options, Hooks hooks)
    : m_own_id(options.m_id),
      m_peers(options.m_id, options.m_seeds, std::move(hooks.m_peers)),
      m_lease(MakeRecord(options),
              {std::move(hooks.m_on_lease), std::move(hooks.m_on_fenced),
               std::move(hooks.m_on_deregistered),
               [this] { return ChooseCell(m_own_id, m_peers.Peers()); }}),
      m_reaper(options.m_id, m_peers, std::move(hooks.m_holds_shares)) {}

void Membership::Start(Context& context) {
  m_peers.Start(context);
  m_lease.Start(context);
}

void Membership::OnTick(Context& context) {
  m_peers.OnTick(context);
  m_lease.OnTick(context);
  m_reaper.OnTick(context);
}

void Membership::OnPlatformAnswered(CallId call,
                                    const PlatformAnswer& answer,
                                    Context& context) {
  if (!m_reaper.OnPlatformAnswered(call)) {
    m_lease.OnPlatformAnswered(call, answer, context);
  }
}

void Membership::OnObject(const Object& object, Context& context) {
  const InstanceId id(object.m_key.m_name);
  if (id == m_own_id) {
    m_lease.OnOwnObject(object, context);
    return;
  }
  const Result<InstanceRecord, FieldErrors> parsed =
      ParseInstanceRecord(id, object.m_value);
  const bool usable = !object.m_deleted && IsOk(parsed);
  const InstanceRecord* record = usable ? &GetValue(parsed) : nullptr;
  m_reaper.OnObject(object, record, context);
  if (usable || object.m_deleted) {
    m_peers.OnRecord(id, record, context);
  }
}

void Membership::OnConfirmed(Time sent, Context& context) {
  m_reaper.OnConfirmed(sent);
  m_peers.ForgetUnresponsivePeers(sent, context);
}

bool Membership::Accept(const PeerSender& from, Context& context) {
  return m_peers.Accept(from, context);
}

void Membership::OnHeartbeat(const PeerSender& from,
                             const Heartbeat& heartbeat,
                             Context& context) {
  m_peers.OnHeartbeat(from, heartbeat, context);
}

void Membership::OnPeerUnreachable(const PeerUnreachable& event,
                                   Context& context) {
  m_peers.OnPeerUnreachable(event, context);
}

void Membership::OnShutdownRequested(Context& context) {
  m_lease.SetDraining(context);
}

void Membership::Deregister(Context& context) {
  m_lease.Deregister(context);
}

Address Membership::AddressOf(const InstanceId& peer) const {
  return m_peers.AddressOf(peer);
}

std::vector<PeerInfo> Membership::Peers() const {
  return m_peers.Peers();
}

bool Membership::IsFenced() const {
  return m_lease.IsFenced();
}

}  // namespace jasminelug::core
