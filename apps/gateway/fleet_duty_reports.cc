// Part of FleetDuty that exchanges reports with the other instances.

#include <algorithm>
#include <utility>

#include "apps/gateway/clock.h"
#include "apps/gateway/fleet_duty.h"
#include "platform/endpoint.h"

namespace jasminelug::gateway_app {
namespace {

using gateway::operator""ms;

// Number of instances of each other cell that receive a digest.
constexpr std::size_t kDigestReceivers = 2;
// Minimum pause between two digests for the other cells.
constexpr gateway::Duration kDigestInterval = 380ms;
// Bytes of queued reports that are sent on each tick: this number, or this part
// of all queued bytes if that is more. A link drops datagrams of a large burst.
constexpr std::size_t kBurstBytes = std::size_t{16} << 10;
constexpr std::size_t kBurstPart = 4;

}  // namespace

gateway::PeerReport FleetDuty::MakeReport(gateway::Time now) const {
  gateway::PeerReport report;
  report.m_copies = m_hooks.m_copies();
  report.m_demand = m_engine.limiter().Demand(now);
  report.m_acknowledged = AcknowledgedRevision();
  const gateway::Configuration* configuration = m_engine.configuration();
  if (!configuration) {
    return report;
  }
  if (const auto age = m_engine.key_contact().Age(now)) {
    report.m_configuration = {configuration->m_revision, *age};
  }
  if (const auto age = m_engine.primary_contact().Age(now)) {
    report.m_replacements = {m_coordinator.revision(), *age};
  }
  for (const auto& [group, limits] : configuration->m_groups) {
    const auto sample = m_engine.NewestSample(group);
    if (sample) {
      report.m_samples.push_back(
          {group, now - sample->m_sent, sample->m_position});
    }
    if (m_engine.PrimaryFailingSince(group, now)) {
      report.m_unreachable.push_back(group);
    } else if (m_engine.IsPrimaryResponsive(group, now)) {
      report.m_reachable.push_back(group);
    }
  }
  return report;
}

void FleetDuty::SendReports(gateway::Time now) {
  m_last_report = now;
  m_peers.UpdateRole(m_coordinator.IsOwnIntent(), now);
  gateway::PeerReport report = MakeReport(now);
  const bool acknowledges = report.m_acknowledged != m_reported_revision;
  if (acknowledges) {
    Log(m_logger, log4cplus::INFO_LOG_LEVEL, "acknowledging",
        {{"revision", ToLogField(report.m_acknowledged)},
         {"read", ToLogField(m_coordinator.revision())}});
  }
  m_reported_revision = report.m_acknowledged;
  m_peers.FillHeader(&report, now);
  const gateway::FleetShares shares =
      m_peers.AllShares(report.m_demand, m_holders, now);
  for (const gateway::InstanceEntry& peer : m_peers.ReportReceivers(now)) {
    Queue(peer, m_peers.ReportFor(peer, report, shares, now));
  }
  if (m_peers.has_other_cells() && m_peers.is_head()) {
    QueueForOtherCells(&report, shares, acknowledges, now);
  }
  SendQueued();
}

void FleetDuty::QueueForOtherCells(gateway::PeerReport* own,
                                   const gateway::FleetShares& shares,
                                   bool acknowledges,
                                   gateway::Time now) {
  gateway::DigestRound round;
  round.m_has_digest = acknowledges || now - m_last_digest >= kDigestInterval;
  round.m_is_replacing = m_coordinator.record().m_intent.has_value();
  if (round.m_has_digest) {
    m_last_digest = now;
    own->m_cells = {m_peers.Digest(*own, now)};
  }
  for (const gateway::InstanceEntry& peer :
       m_peers.DigestReceivers(kDigestReceivers, round, now)) {
    Queue(peer, m_peers.ReportFor(peer, *own, shares, now));
  }
}

void FleetDuty::Queue(const gateway::InstanceEntry& peer,
                      const gateway::PeerReport& report) {
  const auto endpoint =
      adapter::ParseDatagramEndpoint(peer.m_peer_address.str());
  if (endpoint) {
    m_outgoing.push_back({*endpoint, gossip::EncodeReport(report)});
    m_outgoing_bytes += m_outgoing.back().m_bytes.size();
  }
}

void FleetDuty::SendQueued() {
  std::size_t left = std::max(kBurstBytes, m_outgoing_bytes / kBurstPart);
  while (left > 0 && !m_outgoing.empty()) {
    const OutgoingReport& report = m_outgoing.front();
    const std::size_t size = report.m_bytes.size();
    m_datagrams.Send(report.m_receiver, report.m_bytes);
    m_outgoing.pop_front();
    m_outgoing_bytes -= size;
    left -= std::min(left, size);
  }
}

void FleetDuty::OnDatagram(std::string_view bytes) {
  const auto report = gossip::DecodeReport(bytes);
  if (!IsOk(report)) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "ignored an unreadable report",
        {{"reason", GetError(report).m_message}});
    return;
  }
  const gateway::Time now = Now();
  const gateway::PeerReport& read = GetValue(report);
  if (!m_peers.OnReport(read, now)) {
    if (!m_peers.IsRegistered(read.m_sender, read.m_incarnation)) {
      m_hooks.m_unknown_peer(read.m_sender, read.m_address);
    }
    return;
  }
  m_hooks.m_peer_copies(read.m_sender, read.m_copies, now);
  UpdateContacts(read, now);
  for (const gateway::PeerSample& sample : m_peers.SamplesOf(read.m_sender)) {
    m_engine.AddSample(sample.m_group, {sample.m_sent, sample.m_position}, now);
  }
}

void FleetDuty::UpdateContacts(const gateway::PeerReport& report,
                               gateway::Time now) {
  const gateway::Configuration* configuration = m_engine.configuration();
  if (configuration && report.m_configuration) {
    UpdateContact(report, *report.m_configuration, configuration->m_revision,
                  &m_engine.key_contact());
  }
  if (report.m_replacements) {
    m_peer_record.RecordPeerRevision(report.m_replacements->m_revision, now);
    UpdateContact(report, *report.m_replacements, m_coordinator.revision(),
                  &m_engine.primary_contact());
  }
}

void FleetDuty::UpdateContact(const gateway::PeerReport& report,
                              const gateway::VerifiedRevision& peer_state,
                              gateway::Revision own,
                              gateway::StoreContact* contact) {
  const auto verified = m_peers.VerifiedTime(report.m_sender, peer_state);
  if (verified && peer_state.m_revision == own) {
    contact->RecordContact(*verified);
  }
}

}  // namespace jasminelug::gateway_app
