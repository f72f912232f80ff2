// The shares of customers' limits that a PeerView derives from the reports of
// other instances.

#include <algorithm>
#include <utility>

#include "src/gateway/cell_order.h"
#include "src/gateway/peer_view.h"

namespace jasminelug::gateway {

FleetShares PeerView::AllShares(const std::vector<CustomerDemand>& own_demand,
                                const CustomerHolders& holders,
                                Time now) const {
  std::vector<FleetPart> parts = {{{&m_own_entry}, &own_demand, true}};
  for (const auto& [id, peer] : m_peers) {
    FleetPart part;
    part.m_instances = {&peer.m_entry};
    part.m_demand = peer.m_report ? &peer.m_report->m_demand : nullptr;
    part.m_live = IsLive(peer, now);
    parts.push_back(part);
  }
  for (const auto& [zone, cell] : m_cells) {
    FleetPart part;
    for (const InstanceEntry& entry : cell.m_entries) {
      part.m_instances.push_back(&entry);
    }
    part.m_demand = cell.m_digest ? &cell.m_digest->m_demand : nullptr;
    part.m_live = IsLive(cell, now);
    parts.push_back(part);
  }
  return {std::move(parts), holders};
}

std::map<CustomerName, CustomerShare> PeerView::Shares(
    const std::vector<CustomerDemand>& own_demand,
    const CustomerHolders& customers,
    Time now) const {
  std::map<CustomerName, CustomerShare> shares;
  if (!is_head()) {
    const FleetSummary* summary = ReceivedSummary(now);
    for (const auto& [customer, holders] : customers) {
      shares.emplace(
          customer,
          ShareFrom(summary, DemandIn(own_demand, customer), holders));
    }
    return shares;
  }
  const FleetShares all = AllShares(own_demand, customers, now);
  for (const auto& [customer, holders] : customers) {
    shares.emplace(customer,
                   all.ShareOf(m_self, DemandIn(own_demand, customer)));
  }
  return shares;
}

// Returns the summary of the first live head, or nullptr if there is none.
const FleetSummary* PeerView::ReceivedSummary(Time now) const {
  const Peer* first = nullptr;
  for (const auto& [id, peer] : m_peers) {
    const bool usable =
        IsLive(peer, now) && peer.m_report->m_summary.has_value();
    if (usable && (!first || IsBeforeInCell(peer.m_entry, first->m_entry))) {
      first = &peer;
    }
  }
  return first ? &*first->m_report->m_summary : nullptr;
}

// Returns this instance's share from the summary of a head; null if there is
// none.
CustomerShare PeerView::ShareFrom(const FleetSummary* summary,
                                  const CustomerDemand& own_demand,
                                  const std::set<InstanceId>& holders) const {
  const int holder_count =
      holders.empty() ? instance_count() : static_cast<int>(holders.size());
  const bool is_holder = holders.empty() || holders.contains(m_self);
  // The load of a customer that the summary does not contain.
  CustomerLoad load;
  load.m_live_holders = holder_count;
  if (!summary) {
    load.m_available = 1.0 / instance_count();
    load.m_live_holders = 1;
    return ComputeShare(load, own_demand, holder_count, is_holder,
                        /*complete=*/false);
  }
  const auto known =
      std::find_if(summary->m_loads.begin(), summary->m_loads.end(),
                   [&](const CustomerLoad& item) {
                     return item.m_customer == own_demand.m_customer;
                   });
  if (known != summary->m_loads.end()) {
    load = *known;
  }
  return ComputeShare(load, own_demand, holder_count, is_holder,
                      summary->m_complete);
}

CustomerDemand PeerView::DemandIn(const std::vector<CustomerDemand>& demand,
                                  const CustomerName& customer) {
  for (const CustomerDemand& item : demand) {
    if (item.m_customer == customer) {
      return item;
    }
  }
  return {customer, 0, 0};
}

}  // namespace jasminelug::gateway
