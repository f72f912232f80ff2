// The reports that a PeerView makes for other instances, and their receivers in
// other cells.

#include <algorithm>
#include <map>
#include <utility>

#include "src/gateway/peer_view.h"

namespace jasminelug::gateway {

PeerReport PeerView::ReportFor(const InstanceEntry& receiver,
                               const PeerReport& own,
                               const FleetShares& shares,
                               Time now) const {
  PeerReport report = own;
  if (m_cells.empty()) {
    return report;
  }
  std::erase_if(report.m_echoes, [&receiver](const ReportEcho& echo) {
    return echo.m_instance != receiver.m_id;
  });
  const auto peer = m_peers.find(receiver.m_id);
  const bool in_cell = peer != m_peers.end();
  const bool to_head = in_cell && ReportsAsHead(peer->second, now);
  if (!is_head() || to_head) {
    return report;
  }
  // The digest or the summary contains these for the whole cell.
  report.m_demand.clear();
  report.m_reachable.clear();
  report.m_unreachable.clear();
  if (in_cell) {
    report.m_summary = SummaryFor(receiver, own, shares, now);
  } else {
    report.m_samples.clear();
  }
  return report;
}

FleetSummary PeerView::SummaryFor(const InstanceEntry& receiver,
                                  const PeerReport& own,
                                  const FleetShares& shares,
                                  Time now) const {
  FleetSummary summary;
  summary.m_complete = shares.is_complete();
  const Peer& peer = m_peers.at(receiver.m_id);
  if (IsLive(peer, now)) {
    for (const CustomerName& customer : shares.CustomersWithDemand()) {
      const CustomerDemand demand = DemandIn(peer.m_report->m_demand, customer);
      summary.m_loads.push_back(shares.LoadWithout(demand));
    }
  }
  std::map<GroupName, GroupReachability> sums;
  AddReachability(own.m_reachable, own.m_unreachable, &sums);
  for (const auto& [id, other] : m_peers) {
    if (id != receiver.m_id && IsLive(other, now)) {
      AddReachability(other.m_report->m_reachable,
                      other.m_report->m_unreachable, &sums);
    }
  }
  for (const auto& [zone, cell] : m_cells) {
    if (!IsLive(cell, now)) {
      continue;
    }
    for (const GroupReachability& item : cell.m_digest->m_reachability) {
      sums[item.m_group].m_reachable += item.m_reachable;
      sums[item.m_group].m_unreachable += item.m_unreachable;
    }
  }
  for (auto& [group, item] : sums) {
    item.m_group = group;
    summary.m_reachability.push_back(item);
  }
  return summary;
}

void PeerView::AddReachability(
    const std::vector<GroupName>& reachable,
    const std::vector<GroupName>& unreachable,
    std::map<GroupName, GroupReachability>* sums) const {
  for (const GroupName& group : reachable) {
    (*sums)[group].m_reachable += 1;
  }
  for (const GroupName& group : unreachable) {
    (*sums)[group].m_unreachable += 1;
  }
}

CellDigest PeerView::Digest(const PeerReport& own, Time now) const {
  CellDigest digest;
  digest.m_zone = m_zone;
  digest.m_acknowledged = own.m_acknowledged;
  for (const CopyRevision& copy : own.m_copies) {
    if (copy.m_kind == StoreKind::kInstances) {
      digest.m_instances = copy.m_complete;
    }
  }
  std::map<CustomerName, CustomerDemand> demand;
  std::map<GroupName, GroupReachability> reachability;
  const auto add = [this, &demand, &reachability](const PeerReport& report) {
    for (const CustomerDemand& item : report.m_demand) {
      CustomerDemand& sum = demand[item.m_customer];
      sum.m_operations_per_second += item.m_operations_per_second;
      sum.m_admitted_per_second += item.m_admitted_per_second;
    }
    AddReachability(report.m_reachable, report.m_unreachable, &reachability);
  };
  add(own);
  for (const auto& [id, peer] : m_peers) {
    if (IsLive(peer, now)) {
      add(*peer.m_report);
    }
    Revision acknowledged = peer.m_entry.m_acknowledged;
    if (peer.m_report) {
      acknowledged = std::max(acknowledged, peer.m_report->m_acknowledged);
    }
    digest.m_acknowledged = std::min(digest.m_acknowledged, acknowledged);
  }
  for (auto& [customer, sum] : demand) {
    sum.m_customer = customer;
    digest.m_demand.push_back(sum);
  }
  for (auto& [group, item] : reachability) {
    item.m_group = group;
    digest.m_reachability.push_back(item);
  }
  return digest;
}

std::vector<InstanceEntry> PeerView::HeadsOf(const ZoneName& zone,
                                             Time now) const {
  std::vector<InstanceEntry> heads;
  for (const auto& [id, head] : m_heads) {
    // Whether the head is live is not known before it echoes a report of this
    // instance, which it must therefore receive first.
    const bool reports = now - head.m_received < kReportMaxAge;
    if (head.m_entry.m_zone == zone && reports) {
      heads.push_back(head.m_entry);
    }
  }
  return heads;
}

std::vector<InstanceEntry> PeerView::DigestReceivers(std::size_t count,
                                                     const DigestRound& round,
                                                     Time now) {
  const auto position = static_cast<std::size_t>(Rank(now));
  std::vector<InstanceEntry> receivers;
  for (const auto& [zone, cell] : m_cells) {
    const bool condensed =
        !round.m_is_replacing && !m_regions.AreTogether(zone, m_zone);
    if (condensed && !round.m_has_digest) {
      continue;
    }
    std::vector<InstanceEntry> heads = HeadsOf(zone, now);
    if (heads.empty()) {
      const std::size_t first = std::min(count, cell.m_entries.size());
      heads.assign(cell.m_entries.begin(),
                   cell.m_entries.begin() + static_cast<std::ptrdiff_t>(first));
      heads.push_back(
          cell.m_entries[(first + m_next_receiver) % cell.m_entries.size()]);
    } else if (condensed) {
      heads = {heads[position % heads.size()]};
    }
    receivers.insert(receivers.end(), heads.begin(), heads.end());
  }
  m_next_receiver += 1;
  return receivers;
}

}  // namespace jasminelug::gateway
