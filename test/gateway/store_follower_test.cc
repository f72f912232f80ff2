#include "src/gateway/store_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

StoreObject Zone(const std::string& name, std::uint64_t revision) {
  return {name, Revision(revision), EvacuatedZone{ZoneName(name)}};
}

struct Watched {
  Revision m_since;
  Duration m_wait;
};

class Harness {
 public:
  Harness() : m_follower(StoreFollowerOptions{}, Hooks()) {}

  StoreFollower::Hooks Hooks() {
    StoreFollower::Hooks hooks;
    hooks.m_list = [this](const std::string& after) {
      m_lists.push_back(after);
    };
    hooks.m_watch = [this](Revision since, Duration wait) {
      m_watches.push_back({since, wait});
    };
    hooks.m_abandon = [this] { m_abandoned += 1; };
    hooks.m_changed = [this](const StoreObjects& objects) {
      m_changes += 1;
      m_count = objects.size();
    };
    hooks.m_verified = [this](Time sent) { m_verified = sent; };
    hooks.m_lost = [this](const std::string&) { m_lost += 1; };
    hooks.m_regained = [this] { m_regained += 1; };
    hooks.m_random = [] { return 1.0; };
    return hooks;
  }

  std::vector<std::string> m_lists;
  std::vector<Watched> m_watches;
  int m_abandoned = 0;
  int m_changes = 0;
  std::size_t m_count = 0;
  int m_lost = 0;
  int m_regained = 0;
  std::optional<Time> m_verified;
  StoreFollower m_follower;
};

class StoreFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFollowerTest);
  CPPUNIT_TEST(ListsAllPagesThenWatches);
  CPPUNIT_TEST(AppliesChanges);
  CPPUNIT_TEST(ListsAgainWhenTheHistoryIsGone);
  CPPUNIT_TEST(RetriesDoNotWaitUntilContactIsRegained);
  CPPUNIT_TEST(UnansweredCallsAreAbandoned);
  CPPUNIT_TEST(LateAnswersAreIgnored);
  CPPUNIT_TEST(RefreshWatchesWithoutWait);
  CPPUNIT_TEST(ChangesInQuickSuccessionAreReadTogether);
  CPPUNIT_TEST(RestoredStoreIsListedAgain);
  CPPUNIT_TEST(ListAcrossARestoreIsBegunAgain);
  CPPUNIT_TEST(AnswerFromBeforeTheRestoreProvesNothing);
  CPPUNIT_TEST(AnswerToAnEarlierWatchProvesNothing);
  CPPUNIT_TEST(WatchFromAnEarlierEpochProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Starts the follower and answers its list, so that its first watch begins.
  static void List(Harness* harness) {
    harness->m_follower.Start(Time(1s));
    harness->m_follower.OnPage(StorePage{{Zone("a", 3)}, false, Revision(9)},
                               Time(1s + 4ms));
  }

  void ListsAllPagesThenWatches() {
    Harness harness;
    harness.m_follower.Start(Time(1s));
    harness.m_follower.OnPage(
        StorePage{{Zone("a", 3), Zone("b", 4)}, true, Revision(9)},
        Time(1s + 4ms));
    CPPUNIT_ASSERT(!harness.m_follower.is_listed());
    harness.m_follower.OnPage(StorePage{{Zone("c", 5)}, false, Revision(12)},
                              Time(1s + 8ms));
    CPPUNIT_ASSERT((std::vector<std::string>{"", "b"}) == harness.m_lists);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.m_count);
    // The watch starts at the first page's revision, so that changes made
    // between the pages are not missed.
    CPPUNIT_ASSERT(Revision(9) == harness.m_watches.at(0).m_since);
    CPPUNIT_ASSERT(Time(1s) == *harness.m_verified);
  }

  void AppliesChanges() {
    Harness harness;
    List(&harness);
    harness.m_follower.OnChanges(
        StoreChanges{{{false, Zone("b", 10)}, {true, Zone("a", 11)}},
                     Revision(11)},
        Time(2s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_count);
    CPPUNIT_ASSERT(harness.m_follower.objects().contains("b"));
    CPPUNIT_ASSERT(Revision(11) == harness.m_watches.back().m_since);
    const int changes = harness.m_changes;
    harness.m_follower.OnChanges(StoreChanges{{}, Revision(15)}, Time(4s));
    CPPUNIT_ASSERT_EQUAL(changes, harness.m_changes);
    // The time of contact is the time at which the call was sent.
    CPPUNIT_ASSERT(Time(2s) == *harness.m_verified);
  }

  // The store is at or beyond the revision from which it is watched, so an
  // answer of a lower one belongs to another call.
  void AnswerToAnEarlierWatchProvesNothing() {
    for (const std::uint64_t revision : {0, 8, 9, 10}) {
      const bool fits = revision >= 9;
      Harness harness;
      List(&harness);
      harness.m_follower.Adopt({}, Revision(12));
      const auto verified = harness.m_verified;
      harness.m_follower.OnChanges(StoreChanges{{}, Revision(revision)},
                                   Time(2s));
      const std::string message = "revision " + std::to_string(revision);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fits,
                                   harness.m_verified != verified);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fits ? 0 : 1, harness.m_lost);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, fits ? 0 : 1, harness.m_abandoned);
      harness.m_follower.OnTick(Time(4s));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{fits ? 1U : 2U},
                                   harness.m_lists.size());
    }
  }

  // The store comes back from a backup: it gives revisions out again, and the
  // objects that were written since are gone.
  void RestoredStoreIsListedAgain() {
    const StoreEpoch restored(1);
    Harness harness;
    List(&harness);
    const auto verified = harness.m_verified;
    harness.m_follower.OnChanges(
        StoreChanges{{{false, Zone("b", 10)}}, Revision(restored, 12)},
        Time(2s));
    CPPUNIT_ASSERT(verified == harness.m_verified);
    CPPUNIT_ASSERT(!harness.m_follower.objects().contains("b"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.m_lists.size());
    harness.m_follower.OnPage(
        StorePage{{Zone("c", 2)}, false, Revision(restored, 4)}, Time(3s));
    CPPUNIT_ASSERT(harness.m_follower.objects().contains("c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_count);
    CPPUNIT_ASSERT(Revision(restored, 4) == harness.m_follower.changed());
    CPPUNIT_ASSERT(Time(2s) == *harness.m_verified);
  }

  void ListAcrossARestoreIsBegunAgain() {
    Harness harness;
    harness.m_follower.Start(Time(1s));
    harness.m_follower.OnPage(StorePage{{Zone("a", 3)}, true, Revision(9)},
                              Time(1s + 4ms));
    harness.m_follower.OnPage(
        StorePage{{Zone("b", 3)}, false, Revision(StoreEpoch(1), 4)}, Time(2s));
    CPPUNIT_ASSERT(!harness.m_follower.is_listed());
    CPPUNIT_ASSERT((std::vector<std::string>{"", "a", ""}) == harness.m_lists);
  }

  // A copy of the restored store arrives from another instance while a call is
  // in progress that the store answered before.
  void AnswerFromBeforeTheRestoreProvesNothing() {
    Harness harness;
    List(&harness);
    const auto verified = harness.m_verified;
    harness.m_follower.Adopt({{"c", Zone("c", 2)}}, Revision(StoreEpoch(1), 4));
    harness.m_follower.OnChanges(
        StoreChanges{{{false, Zone("b", 10)}}, Revision(20)}, Time(2s));
    CPPUNIT_ASSERT(verified == harness.m_verified);
    CPPUNIT_ASSERT(harness.m_follower.objects().contains("c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_follower.objects().size());
    CPPUNIT_ASSERT(Revision(StoreEpoch(1), 4) == harness.m_follower.complete());
  }

  void ListsAgainWhenTheHistoryIsGone() {
    Harness harness;
    List(&harness);
    harness.m_follower.OnChanges(StoreError{StoreErrorKind::kHistoryGone, ""},
                                 Time(2s));
    harness.m_follower.OnTick(Time(2s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.m_lists.size());
    harness.m_follower.OnPage(StorePage{{}, false, Revision(50)}, Time(2s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.m_count);
    CPPUNIT_ASSERT_EQUAL(0, harness.m_lost);
  }

  void RetriesDoNotWaitUntilContactIsRegained() {
    Harness harness;
    List(&harness);
    Time now(2s);
    for (int i = 0; i < 6; ++i) {
      harness.m_follower.OnChanges(StoreError{StoreErrorKind::kRefused, "503"},
                                   now);
      const std::size_t calls = harness.m_watches.size();
      now += StoreFollowerOptions().m_max_retry_delay;
      harness.m_follower.OnTick(now);
      CPPUNIT_ASSERT_EQUAL(calls + 1, harness.m_watches.size());
      CPPUNIT_ASSERT(harness.m_watches.back().m_wait <= 1ms);
      CPPUNIT_ASSERT(Revision(9) == harness.m_watches.back().m_since);
    }
    CPPUNIT_ASSERT_EQUAL(1, harness.m_lost);
    harness.m_follower.OnChanges(StoreChanges{{}, Revision(15)}, now);
    CPPUNIT_ASSERT_EQUAL(1, harness.m_regained);
    CPPUNIT_ASSERT(harness.m_watches.back().m_wait ==
                   StoreFollowerOptions().m_watch_wait);
  }

  void UnansweredCallsAreAbandoned() {
    Harness harness;
    List(&harness);
    const StoreFollowerOptions options;
    Time now(1s + 4ms);
    now += options.m_watch_wait + options.m_answer_timeout;
    harness.m_follower.OnTick(now);
    CPPUNIT_ASSERT_EQUAL(0, harness.m_abandoned);
    harness.m_follower.OnTick(now + 1ms);
    CPPUNIT_ASSERT_EQUAL(1, harness.m_abandoned);
    CPPUNIT_ASSERT(harness.m_follower.is_lost());
  }

  void LateAnswersAreIgnored() {
    Harness harness;
    List(&harness);
    harness.m_follower.OnPage(StorePage{{}, false, Revision(90)}, Time(2s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_count);
  }

  // Many objects change in quick succession, and without a pause each change
  // would make all watches return.
  void ChangesInQuickSuccessionAreReadTogether() {
    Harness harness;
    List(&harness);
    harness.m_follower.SetPauseAfterChange(500ms);
    harness.m_follower.OnChanges(
        StoreChanges{{{false, Zone("b", 10)}}, Revision(10)}, Time(2s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_watches.size());
    harness.m_follower.OnTick(Time(2s) + 400ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_watches.size());
    harness.m_follower.OnTick(Time(2s) + 500ms);
    CPPUNIT_ASSERT(Revision(10) == harness.m_watches.at(1).m_since);
    CPPUNIT_ASSERT(harness.m_watches[1].m_wait ==
                   StoreFollowerOptions().m_watch_wait);
  }

  void RefreshWatchesWithoutWait() {
    Harness harness;
    List(&harness);
    harness.m_follower.Refresh(Time(2s));
    CPPUNIT_ASSERT_EQUAL(1, harness.m_abandoned);
    CPPUNIT_ASSERT(harness.m_watches.back().m_wait <= 1ms);
    // The same holds during a pause after a change.
    harness.m_follower.SetPauseAfterChange(500ms);
    harness.m_follower.OnChanges(
        StoreChanges{{{false, Zone("b", 10)}}, Revision(10)}, Time(2s));
    const std::size_t before = harness.m_watches.size();
    harness.m_follower.Refresh(Time(2s) + 10ms);
    CPPUNIT_ASSERT_EQUAL(before + 1, harness.m_watches.size());
    CPPUNIT_ASSERT(harness.m_watches.back().m_wait <= 1ms);
  }

  // A copy of the restored store is adopted during a watch that began before
  // the restore. The watch returns with a later revision of the restored store,
  // and without the changes that were made after the adopted copy.
  void WatchFromAnEarlierEpochProvesNothing() {
    const StoreEpoch restored(1);
    Harness harness;
    List(&harness);
    harness.m_follower.Adopt({{"b", Zone("b", 5)}}, Revision(restored, 6));
    harness.m_verified.reset();
    harness.m_follower.OnChanges(StoreChanges{{}, Revision(restored, 8)},
                                 Time(2s));
    CPPUNIT_ASSERT(Revision(restored, 6) == harness.m_follower.complete());
    CPPUNIT_ASSERT(!harness.m_verified);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.m_lists.size());
    harness.m_follower.OnPage(
        StorePage{{Zone("b", 5), Zone("c", 7)}, false, Revision(restored, 8)},
        Time(3s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.m_count);
    CPPUNIT_ASSERT(Revision(restored, 8) == harness.m_watches.back().m_since);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

}  // namespace
}  // namespace jasminelug::gateway
