#ifndef SRC_GATEWAY_FLEET_SHARES_H_
#define SRC_GATEWAY_FLEET_SHARES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/gateway/customer_limiter.h"
#include "src/gateway/ids.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// The holders of each customer: the instances at which the customer's
// operations usually run. An empty set stands for all instances.
using CustomerHolders = std::map<CustomerName, std::set<InstanceId>>;

// A part of the fleet whose demand is known as a sum: one instance, or all
// instances of another cell.
struct FleetPart {
  std::vector<const InstanceEntry*> m_instances;
  // Demand at the part; null if it was never reported.
  const std::vector<CustomerDemand>* m_demand = nullptr;
  // Whether the demand was reported recently.
  bool m_live = false;
};

// What the rest of the fleet, without one instance, does with a customer's
// limits. Together with its own demand, the instance computes its share from
// it.
struct CustomerLoad {
  friend bool operator==(const CustomerLoad&, const CustomerLoad&) = default;

  CustomerName m_customer;
  // Operations per second that the other live instances request, and that they
  // admit.
  double m_others_demand = 0;
  double m_others_admitted = 0;
  // Fraction of the limits that is divided among the live instances.
  double m_available = 1;
  // Number of live holders, including the instance if it is one.
  int m_live_holders = 0;
};

// Returns an instance's share of a customer's limits.
//
// `holder_count` is the number of holders and `is_holder` whether the instance
// is one; `complete` whether all instances are live.
CustomerShare ComputeShare(const CustomerLoad& load,
                           const CustomerDemand& own_demand,
                           int holder_count,
                           bool is_holder,
                           bool complete);

// Divides the customers' limits among the instances of a fleet by their demand.
//
// 30 % of a customer's limits are divided evenly among its holders, the rest by
// demand. The shares of all instances that receive each other's reports add up
// to one. An unresponsive part of the fleet is assumed to keep an equal share,
// or its last share if that was larger.
//
// This serves callers that are spread unevenly over the instances, and
// customers that move their load from one instance to others. All sums are
// computed once, so that the shares of a whole cell can be computed at one
// instance.
class FleetShares {
 public:
  // Takes all parts of the fleet, including this instance. The entries, the
  // demand and the holders must outlive the object.
  FleetShares(std::vector<FleetPart> parts, const CustomerHolders& holders);

  // Returns the share of an instance of a live part that consists of it alone.
  // `demand` is the demand of that part for the customer.
  CustomerShare ShareOf(const InstanceId& instance,
                        const CustomerDemand& demand) const;

  // Returns the load of all instances but the one with this demand. Its share
  // is computed from it by ComputeShare().
  CustomerLoad LoadWithout(const CustomerDemand& demand) const;

  // Returns the customers that have demand anywhere in the fleet.
  std::vector<CustomerName> CustomersWithDemand() const;

  // Returns whether all parts are live.
  bool is_complete() const { return m_unresponsive.empty(); }

 private:
  // Sums over the live parts.
  struct Totals {
    double m_operations_per_second = 0;
    double m_admitted_per_second = 0;
  };

  // Number of holders of one customer.
  struct HolderCounts {
    int m_live = 0;
    // For each unresponsive part.
    std::vector<int> m_unresponsive;
  };

  const std::set<InstanceId>& HoldersOf(const CustomerName& customer) const;
  HolderCounts CountHolders(const CustomerName& customer) const;
  double ReservedFraction(const CustomerName& customer,
                          const HolderCounts& counts,
                          double live_demand) const;

  const CustomerHolders& m_holders;
  std::vector<FleetPart> m_unresponsive;
  // Index in m_unresponsive of the part of each instance; -1 if it is live.
  std::unordered_map<std::string, int> m_part_of;
  std::unordered_map<std::string, Totals> m_totals;
  std::unordered_map<std::string, HolderCounts> m_holder_counts;
  int m_instance_count = 0;
  int m_live_count = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FLEET_SHARES_H_
