#include "src/gateway/connection_holders.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "src/core/rendezvous.h"

namespace jasminelug::gateway {
namespace {

// Part of a member's connections that the holders use, as a fraction. The rest
// is for the reserves of the other instances, and for instances that restart
// while the member still holds connections of their previous run, whose loss it
// has not detected.
constexpr int kHolderPartNumerator = 2;
constexpr int kHolderPartDenominator = 3;
// Number of connections to each member with which a holder serves many
// customers without opening new ones.
constexpr int kConnectionsPerHolder = 12;
// If each instance can have at least this many connections to each member,
// every instance is a holder and none forwards.
constexpr int kMinConnectionsWithoutForwarding = 4;
// Minimum number of holders. One holder may be lost at any time.
constexpr int kMinHolders = 2;
// Number of connections to each member for an instance that is no holder.
constexpr int kReserveConnections = 1;
// Number of statements that may wait at a member, so that a slot that becomes
// free is reused without a round trip.
constexpr int kQueuedAtMember = 2;
// Number of statements that each holder may always have in flight to a member,
// because the load of the holders is not equal.
constexpr int kMinInFlight = 2;
// Divisor of an even part of a member's connections that yields the part of a
// holder in another region.
constexpr int kFarBudgetDivisor = 3;
// An instance is large if it has at least this fraction of the processors of
// the largest instance.
constexpr double kLargeInstanceRatio = 0.5;
// Large instances are preferred as holders only if they have at least this
// fraction of all processors, so that they can run what is forwarded to them.
constexpr double kMinPreferredRatio = 0.2;

int HolderConnections(int connections) {
  return std::max(connections * kHolderPartNumerator / kHolderPartDenominator,
                  1);
}

bool Contains(const std::vector<InstanceId>& ids, const InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

void ConnectionHolders::SetInstances(const std::vector<InstanceEntry>& entries,
                                     ZoneName zone) {
  m_instances.clear();
  for (const InstanceEntry& entry : entries) {
    m_instances[entry.m_id] = {entry.m_zone, entry.m_processors};
  }
  m_instances[m_self].m_zone = std::move(zone);
  m_min_preferred_processors = ComputeMinPreferredProcessors();
  for (const auto& [name, group] : std::exchange(m_groups, {})) {
    SetConnections(name, group.m_connections);
  }
}

void ConnectionHolders::SetConnections(const GroupName& name, int connections) {
  const std::vector<InstanceId> ranked = Rank(name);
  Group& group = m_groups[name];
  group.m_connections = connections;
  group.m_holders = ChooseHolders(ranked, connections);
  group.m_reserves = ChooseReserves(ranked, group.m_holders, connections);
  group.m_budget = ChooseBudget(group);
}

double ConnectionHolders::ComputeMinPreferredProcessors() const {
  double largest = 0;
  double total = 0;
  for (const auto& [id, instance] : m_instances) {
    largest = std::max(largest, instance.m_processors);
    total += instance.m_processors;
  }
  double preferred = 0;
  for (const auto& [id, instance] : m_instances) {
    if (instance.m_processors >= largest * kLargeInstanceRatio) {
      preferred += instance.m_processors;
    }
  }
  return preferred >= total * kMinPreferredRatio ? largest * kLargeInstanceRatio
                                                 : 0;
}

std::vector<InstanceId> ConnectionHolders::Rank(const GroupName& group) const {
  std::vector<std::tuple<bool, std::uint64_t, InstanceId>> weights;
  for (const auto& [id, instance] : m_instances) {
    weights.emplace_back(instance.m_processors >= m_min_preferred_processors,
                         core::RendezvousWeight(id, group.str()), id);
  }
  std::sort(weights.rbegin(), weights.rend());
  std::vector<InstanceId> ranked;
  ranked.reserve(weights.size());
  for (const auto& [preferred, weight, id] : weights) {
    ranked.push_back(id);
  }
  return ranked;
}

std::vector<InstanceId> ConnectionHolders::ChooseHolders(
    const std::vector<InstanceId>& ranked,
    int connections) const {
  const int instances = std::max(static_cast<int>(ranked.size()), 1);
  if (HolderConnections(connections) / instances >=
      kMinConnectionsWithoutForwarding) {
    return ranked;
  }
  const auto wanted = static_cast<std::size_t>(std::max(
      HolderConnections(connections) / kConnectionsPerHolder, kMinHolders));
  const std::size_t count =
      std::min({wanted, ranked.size(),
                static_cast<std::size_t>(HolderConnections(connections))});
  std::map<RegionName, std::vector<InstanceId>> by_region;
  for (const InstanceId& id : ranked) {
    by_region[RegionOf(id)].push_back(id);
  }
  for (auto& [region, ids] : by_region) {
    ids = SpreadOverZones(ids, std::min(count, ids.size()));
  }
  // Takes one instance of each region, then a second one of each, and so on.
  std::vector<InstanceId> holders;
  for (std::size_t i = 0; holders.size() < count; ++i) {
    for (const auto& [region, ids] : by_region) {
      if (i < ids.size() && holders.size() < count) {
        holders.push_back(ids[i]);
      }
    }
  }
  return holders;
}

std::vector<InstanceId> ConnectionHolders::SpreadOverZones(
    const std::vector<InstanceId>& ranked,
    std::size_t count) const {
  std::vector<InstanceId> chosen;
  while (chosen.size() < count) {
    // Takes one instance of each availability zone, then a second one of each,
    // and so on.
    std::set<ZoneName> used;
    for (const InstanceId& id : ranked) {
      if (!Contains(chosen, id) && chosen.size() < count &&
          used.insert(m_instances.at(id).m_zone).second) {
        chosen.push_back(id);
      }
    }
  }
  return chosen;
}

std::vector<InstanceId> ConnectionHolders::ChooseReserves(
    const std::vector<InstanceId>& ranked,
    const std::vector<InstanceId>& holders,
    int connections) {
  std::vector<InstanceId> reserves;
  int left = connections - HolderConnections(connections);
  for (const InstanceId& id : ranked) {
    if (left < kReserveConnections) {
      break;
    }
    if (!Contains(holders, id)) {
      reserves.push_back(id);
      left -= kReserveConnections;
    }
  }
  return reserves;
}

int ConnectionHolders::ChooseBudget(const Group& group) const {
  const int count = std::max(static_cast<int>(group.m_holders.size()), 1);
  if (group.m_holders.empty() || Contains(group.m_holders, m_self)) {
    return std::max(HolderConnections(group.m_connections) / count, 1);
  }
  return Contains(group.m_reserves, m_self) ? kReserveConnections : 0;
}

const std::vector<InstanceId>& ConnectionHolders::HoldersOf(
    const GroupName& group) const {
  static const std::vector<InstanceId> none;
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? none : found->second.m_holders;
}

RegionName ConnectionHolders::RegionOf(const InstanceId& instance) const {
  if (!m_regions.are_several()) {
    return {};
  }
  const auto found = m_instances.find(instance);
  return found == m_instances.end() ? RegionName()
                                    : m_regions.RegionOf(found->second.m_zone);
}

int ConnectionHolders::CountNearHolders(const Group& group,
                                        const ZoneName& zone) const {
  const bool all_hold = group.m_holders.size() == m_instances.size();
  if (!m_regions.are_several() || all_hold) {
    return 0;
  }
  const RegionName region = m_regions.RegionOf(zone);
  return static_cast<int>(std::count_if(
      group.m_holders.begin(), group.m_holders.end(),
      [&](const InstanceId& id) { return RegionOf(id) == region; }));
}

std::vector<const InstanceId*> ConnectionHolders::OrderFor(
    const GroupName& name,
    const CustomerName& customer,
    const RegionName& region) const {
  std::vector<const InstanceId*> order;
  for (const InstanceId& holder : HoldersOf(name)) {
    order.push_back(&holder);
  }
  const auto far = std::stable_partition(
      order.begin(), order.end(),
      [&](const InstanceId* id) { return RegionOf(*id) == region; });
  if (m_regions.are_several()) {
    const auto is_before = [&customer](const InstanceId* a,
                                       const InstanceId* b) {
      return core::RendezvousWeight(*a, customer.str()) >
             core::RendezvousWeight(*b, customer.str());
    };
    std::sort(order.begin(), far, is_before);
    std::sort(far, order.end(), is_before);
    return order;
  }
  const InstanceId key(customer.str());
  const std::uint64_t weight = core::RendezvousWeight(key, name.str());
  if (!order.empty()) {
    std::rotate(
        order.begin(),
        order.begin() + static_cast<std::ptrdiff_t>(weight % order.size()),
        order.end());
  }
  return order;
}

std::set<InstanceId> ConnectionHolders::HoldersFor(
    const CustomerName& customer) const {
  std::set<InstanceId> all;
  for (const auto& [name, group] : m_groups) {
    const std::vector<InstanceId>& holders = group.m_holders;
    if (holders.empty() || holders.size() == m_instances.size()) {
      return {};
    }
    std::set<RegionName> regions;
    for (const InstanceId& holder : holders) {
      regions.insert(RegionOf(holder));
    }
    for (const RegionName& region : regions) {
      all.insert(*OrderFor(name, customer, region).front());
    }
  }
  return all;
}

std::optional<InstanceId> ConnectionHolders::Choose(
    const GroupName& group,
    const CustomerName& customer,
    const RegionName& region,
    const IsUsable& is_usable) const {
  const std::vector<InstanceId>& holders = HoldersOf(group);
  if (holders.empty()) {
    return std::nullopt;
  }
  const bool all_hold = holders.size() == m_instances.size();
  if (all_hold && is_usable(m_self)) {
    return std::nullopt;
  }
  for (const InstanceId* holder : OrderFor(group, customer, region)) {
    if (is_usable(*holder)) {
      return *holder == m_self ? std::nullopt : std::optional(*holder);
    }
  }
  return BudgetFor(group) == 0 ? ChooseReserve(group, customer, is_usable)
                               : std::nullopt;
}

std::optional<InstanceId> ConnectionHolders::ChooseReserve(
    const GroupName& name,
    const CustomerName& customer,
    const IsUsable& is_usable) const {
  const std::vector<InstanceId>& reserves = m_groups.at(name).m_reserves;
  if (reserves.empty()) {
    return std::nullopt;
  }
  const std::size_t first =
      core::RendezvousWeight(InstanceId(customer.str()), name.str()) %
      reserves.size();
  for (std::size_t i = 0; i < reserves.size(); ++i) {
    const InstanceId& reserve = reserves[(first + i) % reserves.size()];
    if (is_usable(reserve)) {
      return reserve;
    }
  }
  return std::nullopt;
}

int ConnectionHolders::InFlightFor(const GroupName& name,
                                   int slots,
                                   const ZoneName& zone) const {
  const auto found = m_groups.find(name);
  if (found == m_groups.end()) {
    return std::max(slots + kQueuedAtMember, kMinInFlight);
  }
  const Group& group = found->second;
  const int near = CountNearHolders(group, zone);
  if (near > 0 && own_region() != m_regions.RegionOf(zone)) {
    return kMinInFlight;
  }
  const int all = std::max(static_cast<int>(group.m_holders.size()), 1);
  const int holders = near > 0 ? near : all;
  const int part = (slots + kQueuedAtMember + holders - 1) / holders;
  return std::max(part, kMinInFlight);
}

int ConnectionHolders::BudgetFor(const GroupName& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? kReserveConnections : found->second.m_budget;
}

int ConnectionHolders::BudgetFor(const GroupName& name,
                                 const ZoneName& zone) const {
  if (!m_regions.are_several()) {
    return BudgetFor(name);
  }
  const auto found = m_groups.find(name);
  if (found == m_groups.end() || !Contains(found->second.m_holders, m_self)) {
    return BudgetFor(name);
  }
  const Group& group = found->second;
  const int near = CountNearHolders(group, zone);
  if (near == 0) {
    return group.m_budget;
  }
  const int far_budget = std::max(group.m_budget / kFarBudgetDivisor, 1);
  if (own_region() != m_regions.RegionOf(zone)) {
    return far_budget;
  }
  const int far = static_cast<int>(group.m_holders.size()) - near;
  const int left = HolderConnections(group.m_connections) - far * far_budget;
  return std::max(left / near, 1);
}

}  // namespace jasminelug::gateway
