#ifndef SRC_GATEWAY_CONNECTION_HOLDERS_H_
#define SRC_GATEWAY_CONNECTION_HOLDERS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/locality/regions.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Chooses the instances that hold the connections to the members of each group.
//
// Connections are scarce: a member accepts a few dozen, each connection belongs
// to one customer, and opening one occupies a slot of the member for longer
// than many statements do. If all instances shared the connections, each would
// have so few that most operations would have to open one. Therefore a few
// instances hold the connections to a group and the others forward to them.
// Rendezvous hashing selects these holders in different availability zones,
// large instances first. Each customer is assigned one of the holders, so that
// its connections are reused. If there are enough connections for all
// instances, every instance is a holder and runs what it receives. An instance
// that reaches no holder uses a small reserve of its own. The connections do
// not suffice for a reserve of each instance of a large fleet; the instances
// without one then forward to those that have one, so that the loss of all
// holders of a group at once does not stop its service.
//
// If there are several regions, the holders are spread over them, and each
// customer is assigned one holder in each region. A member serves mostly the
// holders of its own region: they divide most of its connections and slots, and
// the holders of the other regions have a small part for the statements that
// leave their region.
//
// Instances may temporarily know different sets of instances. A group then has
// more holders than planned, whose connections come out of the part that is
// kept free. Nothing else depends on the choice being the same everywhere.
class ConnectionHolders {
 public:
  using IsUsable = std::function<bool(const InstanceId&)>;

  explicit ConnectionHolders(InstanceId self, Regions regions = {})
      : m_self(std::move(self)), m_regions(std::move(regions)) {}

  // Sets the registered instances and the availability zone of this one. This
  // instance is included even if it is not in `entries`.
  void SetInstances(const std::vector<InstanceEntry>& entries, ZoneName zone);

  // Sets how many connections each member of the group accepts from all
  // instances together.
  void SetConnections(const GroupName& group, int connections);

  // Returns the holders of the group; empty if SetConnections() was not called
  // for it.
  const std::vector<InstanceId>& HoldersOf(const GroupName& group) const;

  // Returns the instance to which an operation of the customer is forwarded
  // that should run in `region`: the first holder in the customer's order that
  // `is_usable` accepts. The holders of the region come first in that order.
  // If it accepts no holder and this instance has no reserve, the operation
  // goes to one that has. Returns nullopt if this instance runs the operation:
  // if it is that holder, if every instance is a holder and `is_usable` accepts
  // this one, or if there is no other instance to use.
  std::optional<InstanceId> Choose(const GroupName& group,
                                   const CustomerName& customer,
                                   const RegionName& region,
                                   const IsUsable& is_usable) const;

  // Chooses a holder for an operation that should run in this region.
  std::optional<InstanceId> Choose(const GroupName& group,
                                   const CustomerName& customer,
                                   const IsUsable& is_usable) const {
    return Choose(group, customer, own_region(), is_usable);
  }

  // Returns the instances that run the customer's operations while all holders
  // are usable. Returns an empty set if, for some group, every instance runs
  // what it receives.
  std::set<InstanceId> HoldersFor(const CustomerName& customer) const;

  // Returns how many connections this instance may have to each member of the
  // group. The budgets of instances that know each other add up to no more than
  // a member accepts, so an instance that is no holder may have a budget of 0.
  int BudgetFor(const GroupName& group) const;

  // Returns the same for a member in `zone`.
  int BudgetFor(const GroupName& group, const ZoneName& zone) const;

  // Returns how many statements this instance may have in flight to a member in
  // `zone` with `slots` slots.
  //
  // Under overload, statements that a member cannot run yet wait in the queue
  // of this instance, which places the most urgent first, and not in the
  // member's own queue.
  int InFlightFor(const GroupName& group,
                  int slots,
                  const ZoneName& zone) const;

  // Returns the region of this instance.
  RegionName own_region() const { return RegionOf(m_self); }

 private:
  struct Instance {
    ZoneName m_zone;
    double m_processors = 0;
  };

  struct Group {
    int m_connections = 0;
    std::vector<InstanceId> m_holders;
    // Instances that are no holders but have a reserve.
    std::vector<InstanceId> m_reserves;
    // Connections that this instance may have to each member.
    int m_budget = 1;
  };

  double ComputeMinPreferredProcessors() const;
  // Returns all instances: first the preferred ones, then the others, both in
  // descending order of rendezvous weight.
  std::vector<InstanceId> Rank(const GroupName& group) const;
  RegionName RegionOf(const InstanceId& instance) const;
  // Returns the number of holders of the group in the region of `zone`; 0 if
  // the region does not matter.
  int CountNearHolders(const Group& group, const ZoneName& zone) const;
  // Returns the holders in the customer's order. It is cyclic, from an index
  // that depends on the customer and the group. With several regions, the
  // holders of `region` come first, and the order in a region is the same for
  // all groups: a customer has twice as many holders then, and its limits would
  // be divided into too many shares.
  std::vector<const InstanceId*> OrderFor(const GroupName& name,
                                          const CustomerName& customer,
                                          const RegionName& region) const;
  std::vector<InstanceId> ChooseHolders(const std::vector<InstanceId>& ranked,
                                        int connections) const;
  // Returns `count` instances of different availability zones, as far as there
  // are enough.
  std::vector<InstanceId> SpreadOverZones(const std::vector<InstanceId>& ranked,
                                          std::size_t count) const;
  static std::vector<InstanceId> ChooseReserves(
      const std::vector<InstanceId>& ranked,
      const std::vector<InstanceId>& holders,
      int connections);
  int ChooseBudget(const Group& group) const;
  std::optional<InstanceId> ChooseReserve(const GroupName& name,
                                          const CustomerName& customer,
                                          const IsUsable& is_usable) const;

  const InstanceId m_self;
  Regions m_regions;
  // Minimum number of processors with which an instance is preferred as a
  // holder.
  double m_min_preferred_processors = 0;
  std::map<InstanceId, Instance> m_instances;
  std::map<GroupName, Group> m_groups;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CONNECTION_HOLDERS_H_
