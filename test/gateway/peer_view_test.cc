#include "src/gateway/peer_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <set>
#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

const CustomerName test_customer("c");

InstanceEntry Entry(const std::string& name, std::uint64_t incarnation = 1) {
  InstanceEntry entry;
  entry.m_id = InstanceId(name);
  entry.m_incarnation = Incarnation(incarnation);
  entry.m_peer_address = Address(name + ":1");
  return entry;
}

// A small fleet whose instances exchange reports over a network with delays.
class Fleet {
 public:
  explicit Fleet(int size) {
    std::vector<InstanceEntry> entries;
    entries.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
      entries.push_back(Entry("i" + std::to_string(i)));
    }
    for (const InstanceEntry& entry : entries) {
      m_views.emplace_back(entry);
      m_views.back().SetInstances(entries, m_now);
      m_demand.push_back({});
    }
  }

  // Delivers a report of each instance to all others. The instance with the
  // index `disconnected` neither sends nor receives.
  void Exchange(Duration delay, int disconnected = -1) {
    std::vector<PeerReport> reports;
    for (std::size_t i = 0; i < m_views.size(); ++i) {
      PeerReport report;
      report.m_demand = m_demand[i];
      m_views[i].FillHeader(&report, m_now);
      reports.push_back(report);
    }
    m_now += delay;
    for (std::size_t to = 0; to < m_views.size(); ++to) {
      for (std::size_t from = 0; from < m_views.size(); ++from) {
        const bool is_disconnected = static_cast<int>(to) == disconnected ||
                                     static_cast<int>(from) == disconnected;
        if (to != from && !is_disconnected) {
          m_views[to].OnReport(reports[from], m_now);
        }
      }
    }
  }

  double ShareOf(std::size_t index) {
    return m_views[index]
        .Shares(m_demand[index], {{test_customer, {}}}, m_now)
        .at(test_customer)
        .m_fraction;
  }

  double ShareSum() {
    double sum = 0;
    for (std::size_t i = 0; i < m_views.size(); ++i) {
      sum += ShareOf(i);
    }
    return sum;
  }

  Time m_now = Time(100s);
  std::vector<PeerView> m_views;
  std::vector<std::vector<CustomerDemand>> m_demand;
};

// A fleet in several availability zones that is large enough to use cells.
class LargeFleet {
 public:
  static constexpr int kZones = 3;
  static constexpr int kInZone = 8;

  explicit LargeFleet(int in_zone = kInZone, const Regions& regions = {}) {
    for (int i = 0; i < kZones * in_zone; ++i) {
      InstanceEntry entry = Entry("i" + std::to_string(100 + i));
      entry.m_zone = ZoneName("z" + std::to_string(i % kZones));
      m_entries.push_back(entry);
    }
    for (const InstanceEntry& entry : m_entries) {
      m_views.emplace_back(entry, regions);
      m_views.back().SetInstances(m_entries, m_now);
      m_reports.emplace_back();
    }
  }

  // Delivers the report of each instance, and the digests of those that send
  // them.
  void Exchange() {
    std::vector<PeerReport> reports = m_reports;
    for (std::size_t i = 0; i < m_views.size(); ++i) {
      m_views[i].UpdateRole(m_coordinators.contains(i), m_now);
      m_views[i].FillHeader(&reports[i], m_now);
    }
    const Time sent = m_now;
    m_now += 2ms;
    struct Message {
      InstanceEntry m_receiver;
      PeerReport m_report;
    };
    std::vector<Message> messages;
    for (std::size_t i = 0; i < m_views.size(); ++i) {
      if (m_lost.contains(i)) {
        continue;
      }
      PeerView& view = m_views[i];
      const FleetShares shares =
          view.AllShares(reports[i].m_demand, m_holders, sent);
      for (const InstanceEntry& peer : view.ReportReceivers(sent)) {
        messages.push_back(
            {peer, view.ReportFor(peer, reports[i], shares, sent)});
      }
      if (!view.is_head()) {
        continue;
      }
      reports[i].m_cells = {view.Digest(reports[i], sent)};
      for (const InstanceEntry& peer : view.DigestReceivers(2, {}, sent)) {
        messages.push_back(
            {peer, view.ReportFor(peer, reports[i], shares, sent)});
      }
    }
    for (const Message& message : messages) {
      Deliver(message.m_receiver, message.m_report);
    }
    m_now += 200ms;
  }

  void Deliver(const InstanceEntry& peer, const PeerReport& report) {
    m_messages += 1;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      if (m_entries[i].m_id == peer.m_id && !m_lost.contains(i)) {
        m_views[i].OnReport(report, m_now);
      }
    }
  }

  Time m_now = Time(100s);
  std::vector<InstanceEntry> m_entries;
  std::vector<PeerView> m_views;
  std::vector<PeerReport> m_reports;
  // Indexes of the instances that neither send nor receive.
  std::set<std::size_t> m_lost;
  // Indexes of the instances that coordinate a replacement.
  std::set<std::size_t> m_coordinators;
  CustomerHolders m_holders = {{test_customer, {}}};
  int m_messages = 0;
};

class PeerViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerViewTest);
  CPPUNIT_TEST(SharesAddUpToOne);
  CPPUNIT_TEST(SharesFollowDemand);
  CPPUNIT_TEST(DisconnectedInstanceIsLimitedToAnEvenShare);
  CPPUNIT_TEST(EchoBoundsReportAge);
  CPPUNIT_TEST(OldAndForeignReportsAreIgnored);
  CPPUNIT_TEST(AcknowledgementsCountForOneIncarnation);
  CPPUNIT_TEST(RemovedInstanceIsWaitedFor);
  CPPUNIT_TEST(ExpiredPeersAreListed);
  CPPUNIT_TEST(CellsShareDemandOfTheWholeFleet);
  CPPUNIT_TEST(CellAcknowledgesWhatAllItsInstancesDo);
  CPPUNIT_TEST(CoordinatorReceivesTheAcknowledgementsOfAllCells);
  CPPUNIT_TEST(HeadsOfTwoRegionsFormPairs);
  CPPUNIT_TEST(DigestThatLacksAnInstanceDoesNotCount);
  CPPUNIT_TEST(OvertakenDigestDoesNotReplaceANewerOne);
  CPPUNIT_TEST(ReportsGrowLinearlyWithTheCell);
  CPPUNIT_TEST(LostHeadsAreReplaced);
  CPPUNIT_TEST(FormerHeadsDoNotTakeTheOthersForLost);
  CPPUNIT_TEST(GrownFleetsDoNotTakeTheirInstancesForLost);
  CPPUNIT_TEST(LostAnnouncementsOfFormerHeadsAreForgotten);
  CPPUNIT_TEST(VerificationReachesOtherCells);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SharesAddUpToOne() {
    const unsigned seed = std::random_device()();
    std::mt19937 random(seed);
    for (int round = 0; round < 100; ++round) {
      Fleet fleet(2 + static_cast<int>(random() % 9));
      for (auto& demand : fleet.m_demand) {
        demand = {{test_customer, static_cast<double>(random() % 100), 0}};
      }
      fleet.Exchange(2ms);
      fleet.Exchange(2ms);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE("seed " + std::to_string(seed), 1.0,
                                           fleet.ShareSum(), 0.001);
    }
  }

  // All callers of a customer use one instance, which must then get most of the
  // customer's limits, while the others keep some.
  void SharesFollowDemand() {
    Fleet fleet(7);
    fleet.m_demand[0] = {{test_customer, 70.0, 0}};
    fleet.Exchange(2ms);
    fleet.Exchange(2ms);
    CPPUNIT_ASSERT(fleet.ShareOf(0) > 0.6);
    CPPUNIT_ASSERT(fleet.ShareOf(1) > 0.04);
  }

  // The instance with most of the demand is disconnected from the others. It
  // and the others must not together exceed the customer's limits.
  void DisconnectedInstanceIsLimitedToAnEvenShare() {
    Fleet fleet(7);
    fleet.m_demand[0] = {{test_customer, 70.0, 0}};
    fleet.m_demand[1] = {{test_customer, 10.0, 0}};
    fleet.Exchange(2ms);
    fleet.Exchange(2ms);
    fleet.m_now += PeerView::kReportMaxAge + 1ms;
    for (int i = 0; i < 10; ++i) {
      fleet.Exchange(100ms, 0);
      CPPUNIT_ASSERT(fleet.ShareOf(0) <= 1.0 / 7 + 0.001);
      CPPUNIT_ASSERT(fleet.ShareSum() <= 1.001);
    }
    // After reconnecting, its share follows its demand again.
    fleet.Exchange(2ms);
    fleet.Exchange(2ms);
    CPPUNIT_ASSERT(fleet.ShareOf(0) > 0.5);
  }

  void EchoBoundsReportAge() {
    for (const Duration delay : {1ms, 100ms, 700ms}) {
      Fleet fleet(2);
      fleet.Exchange(1ms);
      // i1 takes a sample now and reports it; the report arrives after `delay`.
      const Time taken = fleet.m_now;
      fleet.Exchange(1ms);
      PeerReport report;
      report.m_samples = {{GroupName("g"), 0ms, LogPosition{Term(1), 5}}};
      fleet.m_views[1].FillHeader(&report, fleet.m_now);
      const Time made = fleet.m_now;
      fleet.m_now += delay;
      CPPUNIT_ASSERT(fleet.m_views[0].OnReport(report, fleet.m_now));
      const std::vector<PeerSample> samples =
          fleet.m_views[0].SamplesOf(InstanceId("i1"));
      if (delay > 300ms) {
        // The time of the sample is too uncertain: the sample would be taken
        // for a much older one.
        CPPUNIT_ASSERT(samples.empty());
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, samples.size());
      CPPUNIT_ASSERT(samples[0].m_sent <= made);
      CPPUNIT_ASSERT(samples[0].m_sent >= taken);
    }
  }

  void OldAndForeignReportsAreIgnored() {
    PeerView view(Entry("a"));
    view.SetInstances({Entry("a"), Entry("b", 2)}, Time(1s));
    struct Case {
      const char* m_sender;
      std::uint64_t m_incarnation;
      std::uint64_t m_sequence;
      bool m_accepted;
    };
    const std::vector<Case> cases = {{"b", 2, 5, true},  {"b", 2, 5, false},
                                     {"b", 2, 4, false}, {"b", 1, 9, false},
                                     {"c", 2, 9, false}, {"b", 2, 6, true}};
    for (const Case& row : cases) {
      PeerReport report;
      report.m_sender = InstanceId(row.m_sender);
      report.m_incarnation = Incarnation(row.m_incarnation);
      report.m_sequence = row.m_sequence;
      CPPUNIT_ASSERT_EQUAL(row.m_accepted, view.OnReport(report, Time(2s)));
    }
  }

  void AcknowledgementsCountForOneIncarnation() {
    PeerView view(Entry("a"));
    view.SetInstances({Entry("a"), Entry("b", 2)}, Time(1s));
    CPPUNIT_ASSERT(!view.AllAcknowledged(Revision(7), Time(3s)));
    PeerReport report;
    report.m_sender = InstanceId("b");
    report.m_incarnation = Incarnation(2);
    report.m_sequence = 1;
    report.m_acknowledged = Revision(7);
    view.OnReport(report, Time(2s));
    CPPUNIT_ASSERT(view.AllAcknowledged(Revision(7), Time(3s)));
    CPPUNIT_ASSERT(!view.AllAcknowledged(Revision(8), Time(3s)));
    // A restarted instance has to acknowledge again.
    view.SetInstances({Entry("a"), Entry("b", 3)}, Time(3s));
    CPPUNIT_ASSERT(!view.AllAcknowledged(Revision(7), Time(3s)));
    // It may acknowledge in its entry in the store.
    InstanceEntry entry = Entry("b", 3);
    entry.m_acknowledged = Revision(8);
    view.SetInstances({Entry("a"), entry}, Time(3s));
    CPPUNIT_ASSERT(view.AllAcknowledged(Revision(8), Time(3s)));
  }

  // A peer has removed the entry of an instance that is cut off from it and
  // still uses the old primary.
  void RemovedInstanceIsWaitedFor() {
    struct Case {
      const char* m_name;
      bool m_leaving;
      bool m_returns;
      Duration m_after;
      bool m_all_acknowledged;
    };
    const std::vector<Case> cases = {
        {"removed", false, false, 4s, false},
        {"removed long ago", false, false, PeerView::kVanishedTime, true},
        {"stopped", true, false, 1s, true},
        {"registered again", false, true, 1s, true}};
    for (const Case& row : cases) {
      PeerView view(Entry("a"));
      InstanceEntry other = Entry("b", 2);
      other.m_leaving = row.m_leaving;
      view.SetInstances({Entry("a"), other}, Time(1s));
      view.SetInstances({Entry("a")}, Time(2s));
      if (row.m_returns) {
        other.m_acknowledged = Revision(7);
        view.SetInstances({Entry("a"), other}, Time(2s));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.m_name, row.m_all_acknowledged,
          view.AllAcknowledged(Revision(7), Time(2s) + row.m_after));
    }
  }

  // In a fleet of this size, reports between all pairs of instances would be
  // too many. With digests, every instance must still know the demand of the
  // fleet.
  void CellsShareDemandOfTheWholeFleet() {
    LargeFleet fleet;
    for (std::size_t i = 0; i < fleet.m_reports.size(); ++i) {
      fleet.m_reports[i].m_demand = {{test_customer, 2.0, 1.0}};
      fleet.m_reports[i].m_reachable = {GroupName("g")};
    }
    fleet.m_reports[0].m_demand = {{test_customer, 46.0, 23.0}};
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    double sum = 0;
    for (std::size_t i = 0; i < fleet.m_views.size(); ++i) {
      const CustomerShare share =
          fleet.m_views[i]
              .Shares(fleet.m_reports[i].m_demand, {{test_customer, {}}},
                      fleet.m_now)
              .at(test_customer);
      sum += share.m_fraction;
      CPPUNIT_ASSERT(share.m_fleet_admitted);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(46, *share.m_fleet_admitted, 0.1);
      const PeerView::ReachabilityCounts reachability =
          fleet.m_views[i].CountReachability(GroupName("g"), fleet.m_now);
      CPPUNIT_ASSERT_EQUAL(LargeFleet::kZones * LargeFleet::kInZone - 1,
                           reachability.m_reachable);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, sum, 0.01);
    // Reports between all pairs would be 24 * 23 messages.
    CPPUNIT_ASSERT(fleet.m_messages / 6 < 24 * 23 / 2);
  }

  void CellAcknowledgesWhatAllItsInstancesDo() {
    LargeFleet fleet;
    for (PeerReport& report : fleet.m_reports) {
      report.m_acknowledged = Revision(7);
    }
    fleet.m_reports[5].m_acknowledged = Revision(6);
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT(fleet.m_views[0].AllAcknowledged(Revision(6), fleet.m_now));
    CPPUNIT_ASSERT(!fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
    fleet.m_reports[5].m_acknowledged = Revision(7);
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT(fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
  }

  // A datagram arrives after one that was sent later.
  void OvertakenDigestDoesNotReplaceANewerOne() {
    LargeFleet fleet;
    const std::size_t head = 1;  // The first instance of another cell.
    for (PeerReport& report : fleet.m_reports) {
      report.m_acknowledged = Revision(6);
    }
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    PeerReport late = fleet.m_reports[head];
    fleet.m_views[head].FillHeader(&late, fleet.m_now);
    late.m_cells = {fleet.m_views[head].Digest(late, fleet.m_now)};
    for (PeerReport& report : fleet.m_reports) {
      report.m_acknowledged = Revision(7);
    }
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT(fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
    CPPUNIT_ASSERT(!fleet.m_views[0].OnReport(late, fleet.m_now));
    CPPUNIT_ASSERT(fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
  }

  // Load: an instance that is no head writes the intent of a replacement.
  // Guards against: a coordinator to which nobody reports, and which therefore
  // waits for the contact limit though all instances have acknowledged.
  void CoordinatorReceivesTheAcknowledgementsOfAllCells() {
    LargeFleet fleet;
    const std::size_t coordinator = 18;
    const auto exchange = [&fleet] {
      for (int i = 0; i < 6; ++i) {
        fleet.Exchange();
      }
    };
    exchange();
    CPPUNIT_ASSERT(!fleet.m_views[coordinator].is_head());
    fleet.m_coordinators = {coordinator};
    for (PeerReport& report : fleet.m_reports) {
      report.m_acknowledged = Revision(7);
    }
    exchange();
    CPPUNIT_ASSERT(
        fleet.m_views[coordinator].AllAcknowledged(Revision(7), fleet.m_now));
    fleet.m_coordinators.clear();
    exchange();
    CPPUNIT_ASSERT(!fleet.m_views[coordinator].is_head());
  }

  // Zone z2 is in another region. Its heads and those of the other zones must
  // receive each digest once, and still learn all acknowledgements after a head
  // was lost.
  void HeadsOfTwoRegionsFormPairs() {
    const Regions regions({{ZoneName("z0"), RegionName("east")},
                           {ZoneName("z1"), RegionName("east")},
                           {ZoneName("z2"), RegionName("west")}});
    LargeFleet fleet(LargeFleet::kInZone, regions);
    for (PeerReport& report : fleet.m_reports) {
      report.m_acknowledged = Revision(7);
    }
    const auto exchange = [&fleet](int rounds) {
      for (int i = 0; i < rounds; ++i) {
        fleet.Exchange();
      }
    };
    const auto count_receivers_elsewhere = [&] {
      int count = 0;
      for (std::size_t i = 0; i < fleet.m_views.size(); ++i) {
        PeerView& view = fleet.m_views[i];
        if (!view.is_head() || fleet.m_lost.contains(i)) {
          continue;
        }
        for (const InstanceEntry& peer :
             view.DigestReceivers(2, {}, fleet.m_now)) {
          const bool near =
              regions.AreTogether(peer.m_zone, fleet.m_entries[i].m_zone);
          count += near ? 0 : 1;
        }
      }
      return count;
    };
    exchange(10);
    // Two heads in each of two zones, with a receiver each, and back.
    CPPUNIT_ASSERT_EQUAL(8, count_receivers_elsewhere());
    const auto all_heads_know = [&fleet] {
      for (std::size_t i = 0; i < fleet.m_views.size(); ++i) {
        const PeerView& view = fleet.m_views[i];
        if (!fleet.m_lost.contains(i) && view.is_head() &&
            !view.AllAcknowledged(Revision(7), fleet.m_now)) {
          return false;
        }
      }
      return true;
    };
    CPPUNIT_ASSERT(all_heads_know());
    fleet.m_lost = {2};
    CPPUNIT_ASSERT(fleet.m_views[2].is_head());
    exchange(12);
    CPPUNIT_ASSERT(all_heads_know());
    CPPUNIT_ASSERT_EQUAL(8, count_receivers_elsewhere());
    DigestRound round;
    round.m_has_digest = false;
    CPPUNIT_ASSERT(
        fleet.m_views[0].DigestReceivers(2, round, fleet.m_now).size() <= 2);
    round.m_is_replacing = true;
    CPPUNIT_ASSERT(
        fleet.m_views[0].DigestReceivers(2, round, fleet.m_now).size() > 2);
  }

  // An instance registers, and the head of its cell does not know of it yet.
  // Its digest must not count as the acknowledgement of that instance.
  void DigestThatLacksAnInstanceDoesNotCount() {
    LargeFleet fleet;
    for (PeerReport& report : fleet.m_reports) {
      report.m_acknowledged = Revision(7);
      report.m_copies = {{StoreKind::kInstances, Revision(20), Revision(20)}};
    }
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT(fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
    InstanceEntry added = Entry("i200");
    added.m_zone = ZoneName("z1");
    added.m_revision = Revision(21);
    std::vector<InstanceEntry> entries = fleet.m_entries;
    entries.push_back(added);
    fleet.m_views[0].SetInstances(entries, fleet.m_now);
    CPPUNIT_ASSERT(!fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
    for (PeerReport& report : fleet.m_reports) {
      report.m_copies[0].m_complete = Revision(21);
    }
    for (int i = 0; i < 3; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT(fleet.m_views[0].AllAcknowledged(Revision(7), fleet.m_now));
  }

  void ReportsGrowLinearlyWithTheCell() {
    const auto messages = [](int in_zone) {
      LargeFleet fleet(in_zone);
      for (int i = 0; i < 8; ++i) {
        fleet.Exchange();
      }
      fleet.m_messages = 0;
      fleet.Exchange();
      return fleet.m_messages;
    };
    const int small = messages(10);
    const int large = messages(40);
    // Each instance exchanges reports with two heads.
    CPPUNIT_ASSERT(large <= LargeFleet::kZones * 40 * 4 + 40);
    CPPUNIT_ASSERT(large < 5 * small);
  }

  // The heads of a cell are lost. Other instances of it take over, and not all
  // of them.
  void LostHeadsAreReplaced() {
    LargeFleet fleet(20);
    for (int i = 0; i < 8; ++i) {
      fleet.Exchange();
    }
    const auto heads = [&fleet] {
      std::vector<std::size_t> indexes;
      for (std::size_t i = 0; i < fleet.m_views.size(); ++i) {
        if (i % LargeFleet::kZones == 0 && !fleet.m_lost.contains(i) &&
            fleet.m_views[i].is_head()) {
          indexes.push_back(i);
        }
      }
      return indexes;
    };
    CPPUNIT_ASSERT((std::vector<std::size_t>{0, 3}) == heads());
    fleet.m_lost = {0, 3};
    for (int i = 0; i < 15; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT((std::vector<std::size_t>{6, 9}) == heads());
    // The new heads do not take the others, which have not reported to them
    // before, for lost ones.
    CPPUNIT_ASSERT(fleet.m_views[6].ExpiredPeers(fleet.m_now).empty());
    for (int i = 0; i < 45; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         fleet.m_views[6].ExpiredPeers(fleet.m_now).size());
    CPPUNIT_ASSERT(
        fleet.m_views[12].IsUnresponsive(fleet.m_entries[0].m_id, fleet.m_now));
    CPPUNIT_ASSERT(!fleet.m_views[12].IsUnresponsive(fleet.m_entries[15].m_id,
                                                     fleet.m_now));
    // Once they are back, they are the heads again.
    fleet.m_lost.clear();
    for (int i = 0; i < 8; ++i) {
      fleet.Exchange();
    }
    CPPUNIT_ASSERT((std::vector<std::size_t>{0, 3}) == heads());
  }

  // Load: the heads of a cell restart, so that the role passes on and back.
  // Guards against: a replacement that live coordinators take from each other,
  // because each remembers the other's last report as a head, or to a head.
  void FormerHeadsDoNotTakeTheOthersForLost() {
    LargeFleet fleet(20);
    const auto exchange = [&fleet](int rounds) {
      for (int i = 0; i < rounds; ++i) {
        fleet.Exchange();
      }
    };
    exchange(8);
    fleet.m_lost = {0, 3};
    exchange(15);
    CPPUNIT_ASSERT(fleet.m_views[6].is_head());
    fleet.m_lost.clear();
    exchange(20);
    CPPUNIT_ASSERT(!fleet.m_views[6].is_head());
    for (std::size_t i = 0; i < fleet.m_views.size(); ++i) {
      for (const InstanceEntry& other : fleet.m_entries) {
        CPPUNIT_ASSERT(
            !fleet.m_views[i].IsUnresponsive(other.m_id, fleet.m_now));
      }
    }
  }

  // Load: the announcement of a former head is lost.
  // Guards against: as above, for as long as the fleet runs.
  void LostAnnouncementsOfFormerHeadsAreForgotten() {
    PeerView view(Entry("b"));
    std::vector<InstanceEntry> entries;
    for (int i = 0; i < 20; ++i) {
      entries.push_back(Entry("i" + std::to_string(100 + i)));
      entries.back().m_zone = ZoneName(i == 0 ? "" : "z");
    }
    const Time begin(100s);
    view.SetInstances(entries, begin);
    PeerReport report;
    report.m_sender = entries[0].m_id;
    report.m_incarnation = entries[0].m_incarnation;
    report.m_sequence = 1;
    report.m_is_head = true;
    CPPUNIT_ASSERT(view.OnReport(report, begin));
    CPPUNIT_ASSERT(view.IsUnresponsive(entries[0].m_id, begin + 2s));
    CPPUNIT_ASSERT(!view.IsUnresponsive(entries[0].m_id, begin + 16s));
  }

  // Load: instances of a small fleet, which all report to each other, become
  // cells of a large one; some of them learn of it later than others.
  // Guards against: as above, because no instance tells the others that it
  // reports to the heads only from then on.
  void GrownFleetsDoNotTakeTheirInstancesForLost() {
    LargeFleet fleet;
    const std::vector<InstanceEntry> first(fleet.m_entries.begin(),
                                           fleet.m_entries.begin() + 16);
    for (PeerView& view : fleet.m_views) {
      view.SetInstances(first, fleet.m_now);
    }
    for (int round = 0; round < 40; ++round) {
      for (std::size_t i = 0; i < fleet.m_views.size(); ++i) {
        const bool learns_late = i % 2 == 0;
        if (round == (learns_late ? 20 : 10)) {
          fleet.m_views[i].SetInstances(fleet.m_entries, fleet.m_now);
        }
      }
      fleet.Exchange();
    }
    for (const PeerView& view : fleet.m_views) {
      for (const InstanceEntry& other : fleet.m_entries) {
        CPPUNIT_ASSERT(!view.IsUnresponsive(other.m_id, fleet.m_now));
      }
    }
  }

  // The first instance of the fleet follows the store. The heads of the other
  // cells learn from it how current their copies are, and their cells from
  // them.
  void VerificationReachesOtherCells() {
    LargeFleet fleet;
    for (PeerReport& report : fleet.m_reports) {
      report.m_copies = {{StoreKind::kMembers, Revision(1), Revision(1)}};
    }
    fleet.m_reports[0].m_configuration = {Revision(5), Duration(0)};
    for (int i = 0; i < 6; ++i) {
      fleet.Exchange();
    }
    // The second instance is the first head of another cell.
    const auto verified = fleet.m_views[1].VerifiedTime(
        fleet.m_entries[0].m_id, {Revision(5), Duration(0)});
    CPPUNIT_ASSERT(verified.has_value());
    CPPUNIT_ASSERT(fleet.m_now - *verified < 700ms);
    CPPUNIT_ASSERT_EQUAL(0, fleet.m_views[0].FollowerRank(fleet.m_now));
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_views[1].FollowerRank(fleet.m_now));
    // Instances that are no heads come after all heads.
    CPPUNIT_ASSERT(fleet.m_views[9].FollowerRank(fleet.m_now) >=
                   LargeFleet::kZones);
  }

  void ExpiredPeersAreListed() {
    PeerView view(Entry("a"));
    view.SetInstances({Entry("b")}, Time(1s));
    CPPUNIT_ASSERT(view.ExpiredPeers(Time(2s)).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        view.ExpiredPeers(Time(2s) + PeerView::kExpiryTime).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerViewTest);

}  // namespace
}  // namespace jasminelug::gateway
