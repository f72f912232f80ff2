// Tests which instances hold connections, and how many each may have.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminelug/gateway.h"

namespace jasminelug::gateway {
namespace {

const GroupName test_group("g");

InstanceEntry MakeEntry(int number, int zones, double processors) {
  InstanceEntry entry;
  entry.m_id = InstanceId("i" + std::to_string(number));
  entry.m_zone = ZoneName("z" + std::to_string(number % zones));
  entry.m_processors = processors;
  return entry;
}

std::vector<InstanceEntry> MakeFleet(int instances, int zones) {
  std::vector<InstanceEntry> entries;
  entries.reserve(static_cast<std::size_t>(instances));
  for (int i = 0; i < instances; ++i) {
    entries.push_back(MakeEntry(i, zones, 0.25));
  }
  return entries;
}

ConnectionHolders ViewOf(const InstanceEntry& self,
                         const std::vector<InstanceEntry>& fleet,
                         int connections) {
  ConnectionHolders holders(self.m_id);
  holders.SetInstances(fleet, self.m_zone);
  holders.SetConnections(test_group, connections);
  return holders;
}

// Returns regions of `zones` zones, of which the first `east` are in one region
// and the others in another.
Regions MakeRegions(int zones, int east) {
  std::map<ZoneName, RegionName> regions;
  for (int i = 0; i < zones; ++i) {
    regions.emplace("z" + std::to_string(i), i < east ? "east" : "west");
  }
  return Regions(std::move(regions));
}

ConnectionHolders ViewOf(const InstanceEntry& self,
                         const std::vector<InstanceEntry>& fleet,
                         int connections,
                         const Regions& regions) {
  ConnectionHolders holders(self.m_id, regions);
  holders.SetInstances(fleet, self.m_zone);
  holders.SetConnections(test_group, connections);
  return holders;
}

const InstanceEntry& EntryOf(const std::vector<InstanceEntry>& fleet,
                             const InstanceId& id) {
  return *std::find_if(
      fleet.begin(), fleet.end(),
      [&id](const InstanceEntry& entry) { return entry.m_id == id; });
}

bool AcceptAll(const InstanceId&) {
  return true;
}

class ConnectionHoldersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionHoldersTest);
  CPPUNIT_TEST(BudgetsAddUpToTheLimit);
  CPPUNIT_TEST(HoldersLieInDifferentZones);
  CPPUNIT_TEST(LargeInstancesHold);
  CPPUNIT_TEST(FewLargeInstancesDoNotCarryAll);
  CPPUNIT_TEST(SufficientConnectionsNeedNoForwarding);
  CPPUNIT_TEST(LostHolderIsReplacedByTheNext);
  CPPUNIT_TEST(CustomersKeepTheirHolderWhenOthersChange);
  CPPUNIT_TEST(StatementsInFlightFollowTheSlots);
  CPPUNIT_TEST(LossOfAllHoldersLeavesTheReserves);
  CPPUNIT_TEST(HoldersLieInAllRegions);
  CPPUNIT_TEST(OperationsRunInTheirRegion);
  CPPUNIT_TEST(MembersServeTheHoldersOfTheirRegion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // If every instance uses its whole budget, the total must not exceed what a
  // member accepts, at any size of the fleet.
  void BudgetsAddUpToTheLimit() {
    struct Case {
      int m_connections;
      int m_instances;
    };
    const std::vector<Case> cases = {{21, 7},   {50, 6},   {79, 87}, {260, 80},
                                     {12, 30},  {1, 5},    {2, 9},   {21, 1},
                                     {20, 300}, {50, 2100}};
    for (const Case& row : cases) {
      const std::vector<InstanceEntry> fleet = MakeFleet(row.m_instances, 4);
      int total = 0;
      for (const InstanceEntry& self : fleet) {
        total += ViewOf(self, fleet, row.m_connections).BudgetFor(test_group);
      }
      const std::string message = std::to_string(row.m_connections) + " to " +
                                  std::to_string(row.m_instances);
      CPPUNIT_ASSERT_MESSAGE(message, total <= row.m_connections);
      CPPUNIT_ASSERT_MESSAGE(message, total * 2 >= row.m_connections);
    }
  }

  // Holders must be left when an availability zone is lost.
  void HoldersLieInDifferentZones() {
    for (const int zones : {2, 3, 5}) {
      const std::vector<InstanceEntry> fleet = MakeFleet(60, zones);
      const auto holders = ViewOf(fleet[0], fleet, 79).HoldersOf(test_group);
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, holders.size());
      std::set<ZoneName> used;
      for (const InstanceEntry& entry : fleet) {
        if (std::find(holders.begin(), holders.end(), entry.m_id) !=
            holders.end()) {
          used.insert(entry.m_zone);
        }
      }
      CPPUNIT_ASSERT_EQUAL(
          std::min<std::size_t>(4, static_cast<std::size_t>(zones)),
          used.size());
    }
  }

  // With instances of unequal size, the large ones must be the holders.
  void LargeInstancesHold() {
    std::vector<InstanceEntry> fleet;
    fleet.reserve(40);
    for (int i = 0; i < 40; ++i) {
      fleet.push_back(MakeEntry(i, 4, i < 8 ? 0.5 : 0.12));
    }
    const ConnectionHolders view = ViewOf(fleet[20], fleet, 79);
    for (const InstanceId& holder : view.HoldersOf(test_group)) {
      CPPUNIT_ASSERT(holder.str().size() == 2 && holder.str() < "i8");
    }
  }

  // A single large instance has too few of the processors to run what the whole
  // fleet would forward to it.
  void FewLargeInstancesDoNotCarryAll() {
    std::vector<InstanceEntry> fleet;
    fleet.reserve(100);
    for (int i = 0; i < 100; ++i) {
      fleet.push_back(MakeEntry(i, 4, i == 0 ? 1.0 : 0.25));
    }
    ConnectionHolders view(fleet[50].m_id);
    view.SetInstances(fleet, fleet[50].m_zone);
    int held_by_first = 0;
    for (int i = 0; i < 50; ++i) {
      const GroupName group("g" + std::to_string(i));
      view.SetConnections(group, 79);
      const auto& holders = view.HoldersOf(group);
      held_by_first += static_cast<int>(
          std::count(holders.begin(), holders.end(), fleet[0].m_id));
    }
    CPPUNIT_ASSERT(held_by_first < 25);
  }

  void SufficientConnectionsNeedNoForwarding() {
    const std::vector<InstanceEntry> fleet = MakeFleet(6, 3);
    for (const InstanceEntry& self : fleet) {
      const ConnectionHolders view = ViewOf(self, fleet, 50);
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, view.HoldersOf(test_group).size());
      CPPUNIT_ASSERT(!view.Choose(test_group, CustomerName("c"), AcceptAll));
      // An instance that cannot serve the operation itself forwards it.
      const auto other = view.Choose(
          test_group, CustomerName("c"),
          [&self](const InstanceId& id) { return id != self.m_id; });
      CPPUNIT_ASSERT(other && *other != self.m_id);
    }
  }

  // Holders become unresponsive one after another.
  void LostHolderIsReplacedByTheNext() {
    const std::vector<InstanceEntry> fleet = MakeFleet(40, 4);
    const ConnectionHolders view = ViewOf(fleet[0], fleet, 40);
    std::set<InstanceId> lost;
    const auto is_usable = [&lost](const InstanceId& id) {
      return !lost.contains(id);
    };
    for (std::size_t i = 0; i < view.HoldersOf(test_group).size(); ++i) {
      const auto holder = view.Choose(test_group, CustomerName("c"), is_usable);
      if (!holder) {
        return;  // This instance holds connections itself.
      }
      CPPUNIT_ASSERT(lost.insert(*holder).second);
    }
    CPPUNIT_ASSERT(!view.Choose(test_group, CustomerName("c"), is_usable));
  }

  // When an instance joins, most holders must stay, or all customers would have
  // to open new connections.
  void CustomersKeepTheirHolderWhenOthersChange() {
    std::vector<InstanceEntry> fleet = MakeFleet(40, 4);
    const ConnectionHolders before = ViewOf(fleet[0], fleet, 79);
    fleet.push_back(MakeEntry(40, 4, 0.25));
    const ConnectionHolders after = ViewOf(fleet[0], fleet, 79);
    const auto& old_holders = before.HoldersOf(test_group);
    int kept = 0;
    for (const InstanceId& holder : after.HoldersOf(test_group)) {
      kept += static_cast<int>(
          std::count(old_holders.begin(), old_holders.end(), holder));
    }
    CPPUNIT_ASSERT(kept >= 3);
  }

  // With more statements than slots, the others must wait in the queues of the
  // instances, which order them, and not at the member.
  void StatementsInFlightFollowTheSlots() {
    struct Case {
      int m_connections;
      int m_instances;
      int m_slots;
    };
    const std::vector<Case> cases = {{21, 7, 3}, {50, 6, 5}, {79, 87, 5}};
    for (const Case& row : cases) {
      const std::vector<InstanceEntry> fleet = MakeFleet(row.m_instances, 4);
      const ConnectionHolders view = ViewOf(fleet[0], fleet, row.m_connections);
      const int holders = static_cast<int>(view.HoldersOf(test_group).size());
      const int total =
          holders * view.InFlightFor(test_group, row.m_slots, fleet[0].m_zone);
      CPPUNIT_ASSERT(total >= row.m_slots);
      CPPUNIT_ASSERT(total <= row.m_slots + 2 + holders);
    }
  }

  // All holders of a group are killed at once, in a fleet in which not every
  // instance can have a connection to it. The others must still run its
  // operations, within the connections that each member accepts.
  void LossOfAllHoldersLeavesTheReserves() {
    constexpr int kConnections = 56;
    const std::vector<InstanceEntry> fleet = MakeFleet(85, 3);
    std::set<InstanceId> used;
    for (const InstanceEntry& self : fleet) {
      const ConnectionHolders view = ViewOf(self, fleet, kConnections);
      const auto& holders = view.HoldersOf(test_group);
      const auto is_usable = [&](const InstanceId& id) {
        return std::find(holders.begin(), holders.end(), id) == holders.end();
      };
      const CustomerName customer("c" + self.m_id.str());
      const auto reserve = view.Choose(test_group, customer, is_usable);
      CPPUNIT_ASSERT(reserve || view.BudgetFor(test_group) > 0);
      if (reserve) {
        CPPUNIT_ASSERT(ViewOf(EntryOf(fleet, *reserve), fleet, kConnections)
                           .BudgetFor(test_group) > 0);
        used.insert(*reserve);
      }
    }
    CPPUNIT_ASSERT(used.size() > 1);
  }

  // Holders must be left when a region is lost, also if it has most of the
  // zones.
  void HoldersLieInAllRegions() {
    for (const int east : {1, 3, 5}) {
      const std::vector<InstanceEntry> fleet = MakeFleet(60, 6);
      const Regions regions = MakeRegions(6, east);
      const ConnectionHolders view = ViewOf(fleet[0], fleet, 75, regions);
      int in_east = 0;
      for (const InstanceEntry& entry : fleet) {
        const auto& holders = view.HoldersOf(test_group);
        const bool holds = std::find(holders.begin(), holders.end(),
                                     entry.m_id) != holders.end();
        const bool is_east =
            regions.RegionOf(entry.m_zone) == RegionName("east");
        in_east += holds && is_east ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(2, in_east);
    }
  }

  // An operation must not cross to another region while a holder of its own one
  // is usable.
  void OperationsRunInTheirRegion() {
    const std::vector<InstanceEntry> fleet = MakeFleet(60, 6);
    const Regions regions = MakeRegions(6, 3);
    const ConnectionHolders view = ViewOf(fleet[0], fleet, 75, regions);
    const auto region_of = [&](const InstanceId& id) {
      return regions.RegionOf(EntryOf(fleet, id).m_zone);
    };
    for (int i = 0; i < 20; ++i) {
      const CustomerName customer("c" + std::to_string(i));
      for (const RegionName& region :
           {RegionName("east"), RegionName("west")}) {
        std::set<InstanceId> lost = {fleet[0].m_id};
        const auto is_usable = [&lost](const InstanceId& id) {
          return !lost.contains(id);
        };
        const auto first = view.Choose(test_group, customer, region, is_usable);
        CPPUNIT_ASSERT(first && region_of(*first) == region);
        CPPUNIT_ASSERT(view.HoldersFor(customer).contains(*first));
        // If the holders of the region are lost, others take over.
        const auto& holders = view.HoldersOf(test_group);
        std::copy_if(
            holders.begin(), holders.end(), std::inserter(lost, lost.end()),
            [&](const InstanceId& id) { return region_of(id) == region; });
        const auto other = view.Choose(test_group, customer, region, is_usable);
        CPPUNIT_ASSERT(other && region_of(*other) != region);
      }
    }
  }

  // The holders of a member's region must have most of its connections and
  // slots, and all holders together no more connections than it accepts.
  void MembersServeTheHoldersOfTheirRegion() {
    constexpr int kConnections = 75;
    constexpr int kSlots = 6;
    const std::vector<InstanceEntry> fleet = MakeFleet(60, 6);
    const Regions regions = MakeRegions(6, 3);
    for (const ZoneName& member_zone : {ZoneName("z0"), ZoneName("z5")}) {
      int near = 0;
      int all = 0;
      int near_in_flight = 0;
      for (const InstanceEntry& self : fleet) {
        const ConnectionHolders view =
            ViewOf(self, fleet, kConnections, regions);
        const int budget = view.BudgetFor(test_group, member_zone);
        const auto& holders = view.HoldersOf(test_group);
        const bool holds = std::find(holders.begin(), holders.end(),
                                     self.m_id) != holders.end();
        all += budget;
        if (holds && regions.AreTogether(self.m_zone, member_zone)) {
          near += budget;
          near_in_flight += view.InFlightFor(test_group, kSlots, member_zone);
        }
      }
      CPPUNIT_ASSERT(all <= kConnections);
      CPPUNIT_ASSERT(near * 2 > kConnections);
      CPPUNIT_ASSERT(near_in_flight >= kSlots);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionHoldersTest);

}  // namespace
}  // namespace jasminelug::gateway
