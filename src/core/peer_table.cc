#include "src/core/peer_table.h"

#include <algorithm>
#include <utility>

namespace jasminelug::core {
namespace {

// Maximum number of unanswered heartbeats kept per peer. An answer to an older
// heartbeat would be too old to be of use.
constexpr size_t kMaxUnanswered = 8;

TimelineEvent MakeEvent(TimelineKind kind, const PeerInfo& peer) {
  TimelineEvent event;
  event.m_kind = kind;
  event.m_peer = peer.m_id;
  event.m_zone = peer.m_zone;
  return event;
}

}  // namespace

PeerTable::PeerTable(InstanceId own_id,
                     std::vector<SeedPeer> seeds,
                     Hooks hooks)
    : m_own_id(std::move(own_id)),
      m_seeds(std::move(seeds)),
      m_hooks(std::move(hooks)) {}

void PeerTable::Start(Context& context) {
  // Start at a random number, so that an answer meant for an earlier process
  // with this id matches no heartbeat of this process. Such an answer would be
  // dated by a heartbeat sent later than the one that it answers.
  m_last_number = context.Random()() >> 1U;
  m_next_heartbeat = context.Now();
  for (const SeedPeer& seed : m_seeds) {
    if (seed.m_id != m_own_id) {
      Peer& peer = m_peers[seed.m_id];
      peer.m_info.m_id = seed.m_id;
      peer.m_info.m_address = seed.m_address;
    }
  }
}

void PeerTable::OnTick(Context& context) {
  const Time now = context.Now();
  for (auto& [id, peer] : m_peers) {
    const bool silent =
        !peer.m_last_answer || now - *peer.m_last_answer > kPeerLostAfter;
    if (peer.m_info.m_live && silent) {
      MarkLost(&peer, context);
    }
  }
  if (now < m_next_heartbeat) {
    return;
  }
  m_next_heartbeat = now + kHeartbeatInterval;
  for (auto& [id, peer] : m_peers) {
    SendHeartbeat(id, &peer, context);
  }
}

void PeerTable::OnRecord(const InstanceId& peer_id,
                         const InstanceRecord* record,
                         Context& context) {
  if (peer_id == m_own_id) {
    return;
  }
  if (!record) {
    Forget(peer_id, context);
    return;
  }
  Peer& peer = EnsureKnown(peer_id, context);
  peer.m_info.m_registered = true;
  if (record->m_incarnation < peer.m_info.m_incarnation) {
    return;
  }
  SetIncarnation(record->m_incarnation, &peer);
  peer.m_info.m_address = record->m_address;
  peer.m_info.m_zone = record->m_zone;
  peer.m_info.m_draining = record->m_draining;
}

bool PeerTable::Accept(const PeerSender& from, Context& context) {
  if (from.m_instance == m_own_id) {
    return false;
  }
  Peer& peer = m_peers[from.m_instance];
  peer.m_info.m_id = from.m_instance;
  if (from.m_incarnation < peer.m_info.m_incarnation) {
    return false;
  }
  SetIncarnation(from.m_incarnation, &peer);
  peer.m_info.m_last_heard = context.Now();
  return true;
}

void PeerTable::OnHeartbeat(const PeerSender& from,
                            const Heartbeat& heartbeat,
                            Context& context) {
  // A draining instance may still send heartbeats after its lease object was
  // deleted. They must not make it a known peer again, because verification
  // would then wait for its answers.
  Peer& peer = heartbeat.m_draining ? m_peers[from.m_instance]
                                    : EnsureKnown(from.m_instance, context);
  if (!heartbeat.m_address.empty()) {
    peer.m_info.m_address = heartbeat.m_address;
  }
  peer.m_info.m_zone = heartbeat.m_zone;
  peer.m_info.m_draining = heartbeat.m_draining;
  if (heartbeat.m_answers == 0) {
    Heartbeat answer = MakeHeartbeat(context);
    answer.m_answers = heartbeat.m_number;
    context.Send(from.m_instance, std::move(answer));
    return;
  }
  const std::optional<Time> sent = TakeSendTime(heartbeat.m_answers, &peer);
  if (!sent) {
    return;
  }
  MarkLive(&peer, context);
  if (m_hooks.m_on_answer) {
    m_hooks.m_on_answer(from, *sent, heartbeat, context);
  }
}

void PeerTable::OnPeerUnreachable(const PeerUnreachable& event,
                                  Context& context) {
  const auto found = m_peers.find(event.m_peer);
  if (found == m_peers.end() || !event.m_refused) {
    return;
  }
  const std::optional<Time> sent = TakeSendTime(event.m_number, &found->second);
  if (!sent) {
    return;
  }
  if (found->second.m_info.m_live) {
    MarkLost(&found->second, context);
  }
  if (m_hooks.m_on_refused) {
    m_hooks.m_on_refused(event.m_peer, *sent, context);
  }
}

void PeerTable::ForgetUnresponsivePeers(Time confirmed, Context& context) {
  std::vector<InstanceId> silent;
  for (const auto& [id, peer] : m_peers) {
    const std::optional<Time>& last_heard = peer.m_info.m_last_heard;
    const bool is_expired = last_heard &&
                            context.Now() - *last_heard > kForgetPeerAfter &&
                            *last_heard < confirmed;
    if (!peer.m_info.m_registered && is_expired) {
      silent.push_back(id);
    }
  }
  for (const InstanceId& id : silent) {
    Forget(id, context);
  }
}

Address PeerTable::AddressOf(const InstanceId& peer) const {
  const PeerInfo* info = Find(peer);
  return info ? info->m_address : Address();
}

std::vector<PeerInfo> PeerTable::Peers() const {
  std::vector<PeerInfo> peers;
  for (const auto& [id, peer] : m_peers) {
    peers.push_back(peer.m_info);
  }
  return peers;
}

const PeerInfo* PeerTable::Find(const InstanceId& peer) const {
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? nullptr : &found->second.m_info;
}

PeerTable::Peer& PeerTable::EnsureKnown(const InstanceId& id,
                                        Context& context) {
  Peer& peer = m_peers[id];
  peer.m_info.m_id = id;
  if (!peer.m_known) {
    peer.m_known = true;
    if (m_hooks.m_on_known) {
      m_hooks.m_on_known(id, context);
    }
  }
  return peer;
}

void PeerTable::Forget(const InstanceId& id, Context& context) {
  const auto found = m_peers.find(id);
  if (found == m_peers.end()) {
    return;
  }
  if (found->second.m_info.m_live) {
    MarkLost(&found->second, context);
  }
  m_peers.erase(found);
  for (const SeedPeer& seed : m_seeds) {
    if (seed.m_id == id) {
      m_peers[id].m_info.m_id = id;
      m_peers[id].m_info.m_address = seed.m_address;
    }
  }
  if (m_hooks.m_on_gone) {
    m_hooks.m_on_gone(id, context);
  }
}

void PeerTable::SetIncarnation(Incarnation incarnation, Peer* peer) {
  if (incarnation > peer->m_info.m_incarnation) {
    peer->m_info.m_incarnation = incarnation;
    peer->m_info.m_draining = false;
  }
}

Heartbeat PeerTable::MakeHeartbeat(const Context& context) const {
  return m_hooks.m_make_heartbeat ? m_hooks.m_make_heartbeat(context)
                                  : Heartbeat();
}

void PeerTable::SendHeartbeat(const InstanceId& id,
                              Peer* peer,
                              Context& context) {
  if (peer->m_info.m_address.empty()) {
    return;
  }
  Heartbeat heartbeat = MakeHeartbeat(context);
  heartbeat.m_number = ++m_last_number;
  peer->m_unanswered.push_back({heartbeat.m_number, context.Now()});
  if (peer->m_unanswered.size() > kMaxUnanswered) {
    peer->m_unanswered.erase(peer->m_unanswered.begin());
  }
  context.Send(id, std::move(heartbeat));
}

void PeerTable::MarkLive(Peer* peer, Context& context) {
  peer->m_last_answer = context.Now();
  if (!peer->m_info.m_live) {
    peer->m_info.m_live = true;
    context.Record(MakeEvent(TimelineKind::kPeerReached, peer->m_info));
  }
}

void PeerTable::MarkLost(Peer* peer, Context& context) {
  peer->m_info.m_live = false;
  context.Record(MakeEvent(TimelineKind::kPeerLost, peer->m_info));
}

std::optional<Time> PeerTable::TakeSendTime(uint64_t number, Peer* peer) {
  const auto found = std::find_if(
      peer->m_unanswered.begin(), peer->m_unanswered.end(),
      [number](const SentHeartbeat& sent) { return sent.m_number == number; });
  if (found == peer->m_unanswered.end()) {
    return std::nullopt;
  }
  const Time sent = found->m_sent;
  peer->m_unanswered.erase(found);
  return sent;
}

}  // namespace jasminelug::core
