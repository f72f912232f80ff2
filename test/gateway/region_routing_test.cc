// Tests to which region the engine sends operations and statements if a group
// has members in two.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

// The instance, the primary "p" and the replica "r1" are in the east, the
// replica "r2" in the west.
Regions TwoRegions() {
  return Regions({{ZoneName("zone-p"), RegionName("east")},
                  {ZoneName("zone-r1"), RegionName("east")},
                  {ZoneName("zone-r2"), RegionName("west")}});
}

// An instance that holds no connections and forwards to a holder in each
// region.
class Sender : public EngineFixture {
 public:
  Sender() : EngineFixture("self", TwoRegions()) {
    std::vector<InstanceEntry> entries = {Entry("self"), Entry("east-holder"),
                                          Entry("west-holder", "zone-r2")};
    entries[0].m_processors = 0.1;
    entries[1].m_processors = 1;
    entries[2].m_processors = 1;
    m_engine.SetInstances(entries, m_now);
  }

  // Returns the holder to which the last statement was forwarded.
  std::string LastHolder() const {
    return m_forwarded.empty() ? "" : m_forwarded.back().first.str();
  }
};

// An instance that runs everything itself.
class Runner : public EngineFixture {
 public:
  Runner() : EngineFixture("self", TwoRegions()) { RefreshFloor(); }

  // Makes the position of the primary's log known, without which no replica may
  // serve a read.
  void RefreshFloor() {
    Read(Open("strict"));
    AnswerAllAt("p", 1);
    Advance(10ms);
  }

  // Time to an answer from the west, its distance included.
  static constexpr Duration kWestTime = 50ms;

  // Sends reads for `time`, up to 20 in each second, and answers those in the
  // east after `east_time`. Returns how many the west received.
  int SendReads(Duration time, Duration east_time) {
    int west = 0;
    const Time end = m_now + time;
    while (m_now < end) {
      RefreshFloor();
      for (int i = 0; i < 2; ++i) {
        Read(Open("bounded"));
      }
      west += static_cast<int>(CountUnansweredAt("r2"));
      const Duration first = std::min(kWestTime, east_time);
      Advance(first);
      AnswerAllAt(kWestTime <= east_time ? "r2" : "r1", 1);
      Advance(std::max(kWestTime, east_time) - first);
      for (const char* member : {"r1", "p", "r2"}) {
        AnswerAllAt(member, 1);
      }
      Advance(50ms);
    }
    return west;
  }
};

class RegionRoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionRoutingTest);
  CPPUNIT_TEST(OperationsGoToTheRegionThatRunsThem);
  CPPUNIT_TEST(ReadsStayInTheirRegionInCalm);
  CPPUNIT_TEST(ReadsLeaveASlowRegionAndReturn);
  CPPUNIT_TEST(ReadsLeaveARegionWithoutMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each operation must cross to another region once at most.
  void OperationsGoToTheRegionThatRunsThem() {
    struct Case {
      std::string m_name;
      const char* m_database;
      bool m_write;
      const char* m_primary;
      const char* m_holder;
    };
    const std::vector<Case> cases = {
        {"write, near primary", "own", true, "p", "east-holder"},
        {"write, far primary", "own", true, "r2", "west-holder"},
        {"current read, far primary", "strict", false, "r2", "west-holder"},
        {"bounded read, near primary", "bounded", false, "p", "east-holder"},
        {"bounded read, far primary", "bounded", false, "r2", "east-holder"}};
    for (const Case& row : cases) {
      Sender sender;
      sender.m_engine.SetPrimary(EngineFixture::Group(),
                                 {MemberId(row.m_primary), true, {}}, false,
                                 sender.m_now);
      const SessionId id = sender.Open(row.m_database);
      if (row.m_write) {
        sender.Write(id);
      } else {
        sender.Read(id);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::string(row.m_holder),
                                   sender.LastHolder());
    }
  }

  // Load for which the own region has slots, and a few statements more.
  void ReadsStayInTheirRegionInCalm() {
    Runner runner;
    for (int i = 0; i < 12; ++i) {
      runner.Read(runner.Open("bounded"));
    }
    CPPUNIT_ASSERT(runner.CountUnansweredAt("r1") > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runner.CountUnansweredAt("r2"));
    CPPUNIT_ASSERT(runner.m_spill_changes.empty());
  }

  // The members of the own region become slow, and fast again.
  void ReadsLeaveASlowRegionAndReturn() {
    Runner runner;
    CPPUNIT_ASSERT_EQUAL(0, runner.SendReads(2s, 20ms));
    CPPUNIT_ASSERT(runner.SendReads(20s, 300ms) > 0);
    runner.SendReads(20s, 20ms);
    CPPUNIT_ASSERT_EQUAL(0, runner.SendReads(2s, 20ms));
    CPPUNIT_ASSERT(runner.m_spill_changes.size() >= 2);
    CPPUNIT_ASSERT(runner.m_spill_changes.front());
    CPPUNIT_ASSERT(!runner.m_spill_changes.back());
  }

  // The zones of the own region are evacuated.
  void ReadsLeaveARegionWithoutMembers() {
    Runner runner;
    runner.m_engine.SetEvacuatedZones({ZoneName("zone-p"), ZoneName("zone-r1")},
                                      runner.m_now);
    runner.Read(runner.Open("bounded"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner.CountUnansweredAt("r2"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionRoutingTest);

}  // namespace
}  // namespace jasminelug::gateway
