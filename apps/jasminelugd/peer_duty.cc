#include "apps/jasminelugd/peer_duty.h"

#include <utility>

#include "jasminelug/wire.h"

namespace jasminelug::daemon {
namespace {

// The kind of an opaque body that contains a message of the core.
constexpr const char* kCoreKind = "core";

}  // namespace

PeerDuty::~PeerDuty() {
  m_thread.Join();
  if (m_network != nullptr) {
    m_network->Stop();
  }
}

Result<Done, peers::Error> PeerDuty::Listen(
    const peers::PeerNetworkOptions& options) {
  peers::PeerHooks hooks;
  hooks.m_on_message = [this](const peers::PeerAddress& /*from*/,
                              const peers::Envelope& envelope) {
    OnMessage(envelope);
  };
  hooks.m_on_refused = [this](const peers::PeerAddress& peer) {
    OnFailure(peer, true);
  };
  hooks.m_on_unreachable = [this](const peers::PeerAddress& peer) {
    OnFailure(peer, false);
  };
  auto listening = peers::PeerNetwork::Listen(m_thread.io(), options, hooks);
  if (!IsOk(listening)) {
    return GetError(listening);
  }
  m_network = TakeValue(std::move(listening));
  return Done{};
}

void PeerDuty::Execute(const PeerCommand& command) {
  const auto address = peers::ParsePeerAddress(command.m_address.str());
  if (!IsOk(address)) {
    return;
  }
  peers::Envelope envelope;
  envelope.m_sender_instance = m_self.m_instance.str();
  envelope.m_sender_incarnation =
      static_cast<std::int64_t>(m_self.m_incarnation.value());
  envelope.m_sequence = ++m_last_sequence;
  Link& link = m_links[GetValue(address)];
  link.m_instance = command.m_peer;
  if (const auto* heartbeat =
          std::get_if<core::Heartbeat>(&command.m_message)) {
    link.m_last_heartbeat = heartbeat->m_number;
    envelope.m_configuration_version =
        static_cast<std::int64_t>(heartbeat->m_revision.value());
  }
  envelope.m_body = peers::Opaque{kCoreKind, wire::Encode(command.m_message)};

  // A message that cannot be queued is dropped. Any message may be lost, so the
  // core repeats those that must arrive.
  static_cast<void>(m_network->Send(GetValue(address), envelope));
}

void PeerDuty::OnMessage(const peers::Envelope& envelope) {
  const auto* opaque = std::get_if<peers::Opaque>(&envelope.m_body);
  if (opaque == nullptr || opaque->m_kind != kCoreKind) {
    return;
  }
  auto message = wire::DecodePeerMessage(opaque->m_payload);
  if (!message) {
    return;
  }
  const core::PeerSender sender{
      core::InstanceId(envelope.m_sender_instance),
      core::Incarnation(static_cast<uint64_t>(envelope.m_sender_incarnation))};
  m_events->Push(core::PeerMessageReceived{sender, std::move(*message)});
}

void PeerDuty::OnFailure(const peers::PeerAddress& peer, bool refused) {
  const auto found = m_links.find(peer);
  if (found == m_links.end()) {
    return;
  }
  Link& link = found->second;
  core::PeerUnreachable event;
  event.m_peer = link.m_instance;
  event.m_refused = refused;
  event.m_number = link.m_last_before_failure;
  link.m_last_before_failure = link.m_last_heartbeat;
  m_events->Push(std::move(event));
}

}  // namespace jasminelug::daemon
