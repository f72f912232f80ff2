#include "src/gateway/peer_view.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {
namespace {

// Own reports whose sending time is remembered.
constexpr std::size_t kRememberedReports = 64;
// A sample whose time is known less exactly would pass for older than it is,
// and ask replicas for positions that they cannot hold yet.
constexpr Duration kMostUncertainty = 300ms;
// Part of a customer's limits that is divided evenly, whatever the demand: new
// callers are let in before the next report tells of them.
constexpr double kEvenPart = 0.3;
// Demand that each instance is taken to have, in operations a second: shares
// of customers that nobody asks for stay even.
constexpr double kPriorDemand = 0.2;

}  // namespace

PeerView::PeerView(InstanceId self, Incarnation incarnation)
    : m_self(std::move(self)), m_incarnation(incarnation) {}

void PeerView::SetInstances(const std::vector<InstanceEntry>& entries,
                            Time now) {
  std::map<InstanceId, Peer> peers;
  for (const InstanceEntry& entry : entries) {
    if (entry.m_id == m_self) {
      continue;
    }
    Peer peer;
    peer.m_known_since = now;
    const auto known = m_peers.find(entry.m_id);
    if (known != m_peers.end() && known->second.m_entry.IsSameRun(entry)) {
      peer = known->second;
    }
    peer.m_entry = entry;
    peers.emplace(entry.m_id, std::move(peer));
  }
  m_peers = std::move(peers);
}

void PeerView::Address(PeerReport* report, Time now) {
  m_sequence += 1;
  m_sent.push_back({m_sequence, now});
  if (m_sent.size() > kRememberedReports) {
    m_sent.pop_front();
  }
  report->m_sender = m_self;
  report->m_incarnation = m_incarnation;
  report->m_sequence = m_sequence;
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_report) {
      continue;
    }
    report->m_echoes.push_back({id, peer.m_report->m_incarnation,
                                peer.m_report->m_sequence,
                                now - peer.m_received});
  }
}

std::optional<Time> PeerView::SentTimeOf(std::uint64_t sequence) const {
  for (const OwnReport& sent : m_sent) {
    if (sent.m_sequence == sequence) {
      return sent.m_sent;
    }
  }
  return std::nullopt;
}

bool PeerView::OnReport(const PeerReport& report, Time now) {
  const auto found = m_peers.find(report.m_sender);
  if (found == m_peers.end() ||
      found->second.m_entry.m_incarnation != report.m_incarnation) {
    return false;
  }
  Peer& peer = found->second;
  if (peer.m_report && peer.m_report->m_sequence >= report.m_sequence) {
    return false;
  }
  peer.m_report = report;
  peer.m_received = now;
  for (const ReportEcho& echo : report.m_echoes) {
    if (echo.m_instance != m_self || echo.m_incarnation != m_incarnation) {
      continue;
    }
    const std::optional<Time> sent = SentTimeOf(echo.m_sequence);
    if (sent) {
      peer.m_made = *sent + echo.m_held;
    }
  }
  return true;
}

bool PeerView::IsFresh(const Peer& peer, Time now) const {
  return peer.m_made && now - *peer.m_made < kFreshFor;
}

std::vector<PeerSample> PeerView::SamplesOf(const InstanceId& sender) const {
  std::vector<PeerSample> samples;
  const auto found = m_peers.find(sender);
  if (found == m_peers.end() || !found->second.m_made ||
      found->second.m_received - *found->second.m_made > kMostUncertainty) {
    return samples;
  }
  for (const AgedSample& sample : found->second.m_report->m_samples) {
    samples.push_back({sample.m_group, *found->second.m_made - sample.m_age,
                       sample.m_position});
  }
  return samples;
}

std::optional<Time> PeerView::ProofTime(const InstanceId& sender,
                                        const StateProof& proof) const {
  const auto found = m_peers.find(sender);
  if (found == m_peers.end() || !found->second.m_made) {
    return std::nullopt;
  }
  return *found->second.m_made - proof.m_age;
}

int PeerView::CountHeard(Time now) const {
  return static_cast<int>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [&](const auto& item) { return IsFresh(item.second, now); }));
}

double PeerView::DemandOf(const Peer& peer,
                          const CustomerName& customer) const {
  if (peer.m_report) {
    for (const CustomerDemand& demand : peer.m_report->m_demand) {
      if (demand.m_customer == customer) {
        return demand.m_operations_per_second + kPriorDemand;
      }
    }
  }
  return kPriorDemand;
}

std::map<CustomerName, double> PeerView::Shares(
    const std::vector<CustomerDemand>& own_demand,
    const std::vector<CustomerName>& customers,
    Time now) const {
  const double even = 1.0 / instance_count();
  std::map<CustomerName, double> shares;
  for (const CustomerName& customer : customers) {
    double own = kPriorDemand;
    for (const CustomerDemand& demand : own_demand) {
      own += demand.m_customer == customer ? demand.m_operations_per_second : 0;
    }
    double total = own;
    for (const auto& [id, peer] : m_peers) {
      total += DemandOf(peer, customer);
    }
    // What silent peers may still be using is set aside.
    double set_aside = 0;
    double heard = own;
    int heard_count = 1;
    for (const auto& [id, peer] : m_peers) {
      const double demand = DemandOf(peer, customer);
      if (IsFresh(peer, now)) {
        heard += demand;
        heard_count += 1;
        continue;
      }
      const double last = kEvenPart * even + (1 - kEvenPart) * demand / total;
      set_aside += std::max(even, last);
    }
    const double left = std::max(1 - set_aside, even * heard_count / 2);
    const double share =
        left * (kEvenPart / heard_count + (1 - kEvenPart) * own / heard);
    const bool alone = heard_count == 1 && !m_peers.empty();
    shares.emplace(customer, alone ? std::min(share, even) : share);
  }
  return shares;
}

bool PeerView::AllAcknowledged(Revision revision) const {
  return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
    const std::optional<PeerReport>& report = item.second.m_report;
    return item.second.m_entry.m_acknowledged >= revision ||
           (report && report->m_acknowledged >= revision);
  });
}

PeerView::Opinions PeerView::OpinionsOf(const GroupName& group,
                                        Time now) const {
  Opinions opinions;
  for (const auto& [id, peer] : m_peers) {
    if (!IsFresh(peer, now)) {
      continue;
    }
    const std::vector<GroupName>& bad = peer.m_report->m_unreachable;
    const std::vector<GroupName>& good = peer.m_report->m_reachable;
    if (std::find(bad.begin(), bad.end(), group) != bad.end()) {
      opinions.m_unreachable += 1;
    } else if (std::find(good.begin(), good.end(), group) != good.end()) {
      opinions.m_reachable += 1;
    }
  }
  return opinions;
}

std::vector<InstanceId> PeerView::SilentPeers(Time now) const {
  std::vector<InstanceId> silent;
  for (const auto& [id, peer] : m_peers) {
    const Time heard = peer.m_report ? peer.m_received : peer.m_known_since;
    if (now - heard > kDeadAfter) {
      silent.push_back(id);
    }
  }
  return silent;
}

int PeerView::Rank(Time now) const {
  int rank = 0;
  for (const auto& [id, peer] : m_peers) {
    rank += id < m_self && IsFresh(peer, now) ? 1 : 0;
  }
  return rank;
}

bool PeerView::IsHeard(const InstanceId& id, Time now) const {
  const auto found = m_peers.find(id);
  return found != m_peers.end() && IsFresh(found->second, now);
}

std::vector<InstanceEntry> PeerView::Peers() const {
  std::vector<InstanceEntry> entries;
  for (const auto& [id, peer] : m_peers) {
    entries.push_back(peer.m_entry);
  }
  return entries;
}

}  // namespace jasminelug::gateway
