#include "src/gateway/fleet_shares.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {
namespace {

// Fraction of a customer's limits that is divided evenly among the holders,
// regardless of demand. It admits callers that are new to an instance before
// the next report includes their demand.
constexpr double kEvenFraction = 0.3;
// Demand that is assumed for each holder of a customer in addition to its
// measured demand, in operations per second. It keeps the shares of a customer
// without demand even.
constexpr double kPriorDemand = 0.02;
// Demand that is assumed for an instance that is not a holder of the customer,
// in operations per second.
constexpr double kMinDemand = 0.0001;

double DemandIn(const FleetPart& part, const CustomerName& customer) {
  if (!part.m_demand) {
    return 0;
  }
  for (const CustomerDemand& item : *part.m_demand) {
    if (item.m_customer == customer) {
      return item.m_operations_per_second;
    }
  }
  return 0;
}

}  // namespace

FleetShares::FleetShares(std::vector<FleetPart> parts,
                         const CustomerHolders& holders)
    : m_holders(holders) {
  for (FleetPart& part : parts) {
    const int size = static_cast<int>(part.m_instances.size());
    m_instance_count += size;
    m_live_count += part.m_live ? size : 0;
    const int index =
        part.m_live ? -1 : static_cast<int>(m_unresponsive.size());
    for (const InstanceEntry* entry : part.m_instances) {
      m_part_of.emplace(entry->m_id.str(), index);
    }
    if (!part.m_live) {
      m_unresponsive.push_back(std::move(part));
      continue;
    }
    for (const CustomerDemand& item : *part.m_demand) {
      Totals& totals = m_totals[item.m_customer.str()];
      totals.m_operations_per_second += item.m_operations_per_second;
      totals.m_admitted_per_second += item.m_admitted_per_second;
    }
  }
  for (const auto& [customer, set] : m_holders) {
    m_holder_counts.emplace(customer.str(), CountHolders(customer));
  }
}

const std::set<InstanceId>& FleetShares::HoldersOf(
    const CustomerName& customer) const {
  static const std::set<InstanceId> all;
  const auto found = m_holders.find(customer);
  return found == m_holders.end() ? all : found->second;
}

FleetShares::HolderCounts FleetShares::CountHolders(
    const CustomerName& customer) const {
  HolderCounts counts;
  const std::set<InstanceId>& holders = HoldersOf(customer);
  if (holders.empty()) {
    counts.m_live = m_live_count;
    for (const FleetPart& part : m_unresponsive) {
      counts.m_unresponsive.push_back(
          static_cast<int>(part.m_instances.size()));
    }
    return counts;
  }
  counts.m_unresponsive.resize(m_unresponsive.size());
  for (const InstanceId& holder : holders) {
    const auto part = m_part_of.find(holder.str());
    if (part == m_part_of.end()) {
      continue;
    }
    int& count =
        part->second < 0
            ? counts.m_live
            : counts.m_unresponsive[static_cast<std::size_t>(part->second)];
    count += 1;
  }
  return counts;
}

// Returns the fraction of the limits that unresponsive parts of the fleet may
// still be using. It is set aside and not divided among the live instances.
double FleetShares::ReservedFraction(const CustomerName& customer,
                                     const HolderCounts& counts,
                                     double live_demand) const {
  std::vector<double> demand;
  double total = live_demand;
  for (std::size_t i = 0; i < m_unresponsive.size(); ++i) {
    demand.push_back(DemandIn(m_unresponsive[i], customer) +
                     kPriorDemand * counts.m_unresponsive[i]);
    total += demand.back();
  }
  double reserved = 0;
  for (std::size_t i = 0; i < m_unresponsive.size(); ++i) {
    const double even_part =
        static_cast<double>(m_unresponsive[i].m_instances.size()) /
        m_instance_count;
    const double last =
        kEvenFraction * even_part + (1 - kEvenFraction) * demand[i] / total;
    reserved += std::max(even_part, last);
  }
  return reserved;
}

CustomerLoad FleetShares::LoadWithout(const CustomerDemand& demand) const {
  const CustomerName& customer = demand.m_customer;
  const auto known_counts = m_holder_counts.find(customer.str());
  const HolderCounts counts = known_counts == m_holder_counts.end()
                                  ? CountHolders(customer)
                                  : known_counts->second;
  const auto known_totals = m_totals.find(customer.str());
  const Totals totals =
      known_totals == m_totals.end() ? Totals() : known_totals->second;
  const double live_demand =
      totals.m_operations_per_second + kPriorDemand * counts.m_live;
  const double reserved = ReservedFraction(customer, counts, live_demand);
  CustomerLoad load;
  load.m_customer = customer;
  load.m_others_demand = std::max(
      totals.m_operations_per_second - demand.m_operations_per_second, 0.0);
  load.m_others_admitted = std::max(
      totals.m_admitted_per_second - demand.m_admitted_per_second, 0.0);
  load.m_available =
      std::max(1 - reserved, 0.5 * m_live_count / m_instance_count);
  load.m_live_holders = counts.m_live;
  const bool alone = m_live_count == 1 && m_instance_count > 1;
  if (alone) {
    load.m_available = std::min(load.m_available, 1.0 / m_instance_count);
  }
  return load;
}

CustomerShare ComputeShare(const CustomerLoad& load,
                           const CustomerDemand& own_demand,
                           int holder_count,
                           bool is_holder,
                           bool complete) {
  const int other_holders = load.m_live_holders - (is_holder ? 1 : 0);
  const double own = own_demand.m_operations_per_second +
                     (is_holder ? kPriorDemand : kMinDemand);
  const double all = own + load.m_others_demand + kPriorDemand * other_holders;
  const double even_share = is_holder ? kEvenFraction / load.m_live_holders : 0;
  CustomerShare share;
  share.m_fraction =
      load.m_available * (even_share + (1 - kEvenFraction) * own / all);
  if (complete) {
    share.m_fleet_admitted =
        load.m_others_admitted + own_demand.m_admitted_per_second;
  }
  share.m_holder_count = holder_count;
  return share;
}

CustomerShare FleetShares::ShareOf(const InstanceId& instance,
                                   const CustomerDemand& demand) const {
  const std::set<InstanceId>& holders = HoldersOf(demand.m_customer);
  const int holder_count =
      holders.empty() ? m_instance_count : static_cast<int>(holders.size());
  return ComputeShare(LoadWithout(demand), demand, holder_count,
                      holders.empty() || holders.contains(instance),
                      is_complete());
}

std::vector<CustomerName> FleetShares::CustomersWithDemand() const {
  std::vector<CustomerName> customers;
  for (const auto& [name, totals] : m_totals) {
    customers.emplace_back(name);
  }
  return customers;
}

}  // namespace jasminelug::gateway
