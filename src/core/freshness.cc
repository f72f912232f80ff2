#include "src/core/freshness.h"

#include <algorithm>

namespace jasminelug::core {

void Freshness::OnPlatformConfirmed(Time sent) {
  Confirm(sent);
}

void Freshness::OnInstalled(Revision revision) {
  m_installed = std::max(m_installed, revision);
  for (const auto& [peer, evidence] : m_peers) {
    ApplyConfirmation(evidence);
  }
}

void Freshness::OnPeerAnswer(const PeerSender& peer,
                             Time sent,
                             const Heartbeat& answer) {
  PeerEvidence& evidence = m_peers[peer.m_instance];
  if (evidence.m_heartbeat_sent && sent <= *evidence.m_heartbeat_sent) {
    return;
  }
  const bool same_process = evidence.m_incarnation == peer.m_incarnation;
  if (!same_process) {
    RecordSilence(&evidence, sent);
  }
  evidence.m_heartbeat_sent = sent;
  evidence.m_revision = answer.m_revision;
  evidence.m_incarnation = peer.m_incarnation;
  evidence.m_confirmed.reset();
  if (answer.m_platform_age) {
    // The peer's confirmation is at least as recent as computed here: the peer
    // answered after `sent`, and its clock may run slower than the clock of
    // this instance.
    evidence.m_confirmed = sent - WithClockDriftMargin(*answer.m_platform_age);
  }
  if (!answer.m_platform_reachable) {
    evidence.m_outage_at = sent;
    evidence.m_outage_revision = answer.m_revision;
    evidence.m_outage_answered = true;
  }
  ApplyConfirmation(evidence);
}

void Freshness::OnPeerRefused(const InstanceId& peer, Time sent) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  PeerEvidence& evidence = found->second;
  if (evidence.m_heartbeat_sent && sent <= *evidence.m_heartbeat_sent) {
    return;
  }
  RecordSilence(&evidence, sent);
  evidence.m_heartbeat_sent = sent;
  evidence.m_outage_at = sent;
  evidence.m_outage_revision = Revision();
  evidence.m_outage_answered = false;
}

void Freshness::OnPeerKnown(const InstanceId& peer) {
  m_peers.try_emplace(peer);
}

void Freshness::OnPeerGone(const InstanceId& peer) {
  m_peers.erase(peer);
}

std::optional<Duration> Freshness::Age(const Context& context) const {
  if (!m_confirmed) {
    return std::nullopt;
  }
  return context.Now() - *m_confirmed;
}

bool Freshness::IsFresh(const Context& context) const {
  const std::optional<Duration> age = Age(context);
  if (!age) {
    return false;
  }
  return *age <= kKeyFreshnessBound || IsPlatformDownForAll(context.Now());
}

void Freshness::RecordSilence(PeerEvidence* evidence, Time sent) {
  if (evidence->m_heartbeat_sent &&
      sent - *evidence->m_heartbeat_sent > kKeyFreshnessBound) {
    evidence->m_uncertain_until = sent;
  }
}

// Adopts a peer's confirmation if this instance has installed the peer's
// revision. The revision includes every change that was accepted before the
// confirmation, so all of these are then installed here too.
void Freshness::ApplyConfirmation(const PeerEvidence& evidence) {
  if (evidence.m_confirmed && evidence.m_revision <= m_installed) {
    Confirm(*evidence.m_confirmed);
  }
}

// Returns whether every known peer indicates an outage of the platform. At
// least one must have answered: if all connections were refused, the fault may
// be on the side of this instance.
bool Freshness::IsPlatformDownForAll(Time now) const {
  bool any_answered = false;
  for (const auto& [peer, evidence] : m_peers) {
    if (!IndicatesOutage(evidence, now)) {
      return false;
    }
    any_answered |= evidence.m_outage_answered;
  }
  return any_answered;
}

// Returns whether a peer has recently shown that it does not reach the
// platform, and cannot know of a change that is not installed here.
bool Freshness::IndicatesOutage(const PeerEvidence& evidence, Time now) const {
  const bool recent =
      evidence.m_outage_at && now - *evidence.m_outage_at <= kKeyFreshnessBound;
  const bool knows_more = evidence.m_outage_revision > m_installed;
  const bool uncertain =
      evidence.m_uncertain_until && *m_confirmed < *evidence.m_uncertain_until;
  return recent && !knows_more && !uncertain;
}

void Freshness::Confirm(Time at) {
  m_confirmed = std::max(m_confirmed.value_or(at), at);
}

}  // namespace jasminelug::core
