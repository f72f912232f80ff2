#include "src/gateway/primary_decision.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace jasminelug::gateway {
namespace {

ReplacementCoordinator MakeCoordinator() {
  ReplacementOptions options;
  options.m_self = InstanceId("a");
  return ReplacementCoordinator(options, {});
}

StoreObjects Record(const ReplacementRecord& record, std::uint64_t revision) {
  return {{ReplacementCoordinator::kRecordName,
           {ReplacementCoordinator::kRecordName, Revision(revision), record}}};
}

class PrimaryDecisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryDecisionTest);
  CPPUNIT_TEST(RecordOverridesSelfDeclaredPrimary);
  CPPUNIT_TEST(IntentMakesPrimaryUnusable);
  CPPUNIT_TEST(PlannedReplacementDoesNotWaitForATransactionForEver);
  CPPUNIT_TEST(UnreadRecordMakesPrimaryUnusable);
  CPPUNIT_TEST(AcknowledgementIsNotTakenBackByAnOlderRecord);
  CPPUNIT_TEST(RecordOfAnEarlierEpochNamesNoPrimary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RecordOverridesSelfDeclaredPrimary() {
    ReplacementCoordinator coordinator = MakeCoordinator();
    const GroupName group("g");
    const MemberId declared("declared");
    const MemberId before("before");
    PrimaryDecision decision =
        DecidePrimary(group, coordinator, declared, before, false, Time(1s));
    CPPUNIT_ASSERT(declared == decision.m_view.m_member);
    decision = DecidePrimary(group, coordinator, std::nullopt, before, false,
                             Time(1s));
    CPPUNIT_ASSERT(before == decision.m_view.m_member);
    decision = DecidePrimary(group, coordinator, std::nullopt, std::nullopt,
                             false, Time(1s));
    CPPUNIT_ASSERT(!decision.m_view.m_usable);
    ReplacementRecord record;
    record.m_primaries = {{group, MemberId("recorded")}};
    coordinator.OnEntries(Record(record, 5), Revision(5), Time(1s));
    decision =
        DecidePrimary(group, coordinator, declared, before, false, Time(1s));
    CPPUNIT_ASSERT(MemberId("recorded") == decision.m_view.m_member);
    CPPUNIT_ASSERT(decision.m_view.m_usable);
  }

  void IntentMakesPrimaryUnusable() {
    for (const bool planned : {true, false}) {
      ReplacementCoordinator coordinator = MakeCoordinator();
      ReplacementRecord record;
      record.m_intent = ReplacementIntent{GroupName("g"), MemberId("p"),
                                          MemberId("r"), planned};
      coordinator.OnEntries(Record(record, 5), Revision(5), Time(1s));
      const PrimaryDecision decision =
          DecidePrimary(GroupName("g"), coordinator, MemberId("p"),
                        std::nullopt, false, Time(1s));
      CPPUNIT_ASSERT(!decision.m_view.m_usable);
      CPPUNIT_ASSERT(decision.m_view.m_usable_from);
      CPPUNIT_ASSERT_EQUAL(!planned, decision.m_abandon);
      const PrimaryDecision other =
          DecidePrimary(GroupName("h"), coordinator, MemberId("q"),
                        std::nullopt, false, Time(1s));
      CPPUNIT_ASSERT(other.m_view.m_usable);
    }
  }

  // A transaction stays open at the old primary of a planned replacement.
  void PlannedReplacementDoesNotWaitForATransactionForEver() {
    const Duration limit = ReplacementCoordinator::kPlannedEndLimit;
    ReplacementCoordinator coordinator = MakeCoordinator();
    ReplacementRecord record;
    record.m_intent =
        ReplacementIntent{GroupName("g"), MemberId("p"), MemberId("r"), true};
    coordinator.OnEntries(Record(record, 5), Revision(5), Time(1s));
    for (const bool over : {false, true}) {
      const PrimaryDecision decision = DecidePrimary(
          GroupName("g"), coordinator, MemberId("p"), std::nullopt, false,
          Time(1s) + limit + (over ? 10ms : -10ms));
      CPPUNIT_ASSERT(!decision.m_view.m_usable);
      CPPUNIT_ASSERT_EQUAL(over, decision.m_abandon);
    }
  }

  // The store refuses this instance but serves the others, so that it cannot
  // read an intent. It must stop using the primary once peers report a newer
  // record.
  void UnreadRecordMakesPrimaryUnusable() {
    struct Case {
      std::uint64_t m_own;
      Duration m_after;
      bool m_unread;
    };
    const std::vector<Case> cases = {
        {7, 5s, false}, {8, 5s, false}, {6, 50ms, false}, {6, 5s, true}};
    for (const Case& row : cases) {
      PeerReadRevisions peer_revisions;
      peer_revisions.RecordPeerRevision(Revision(7), Time(10s));
      peer_revisions.RecordPeerRevision(Revision(6), Time(12s));
      peer_revisions.Update(Revision(row.m_own), Time(10s + row.m_after));
      CPPUNIT_ASSERT_EQUAL(row.m_unread, peer_revisions.unread().has_value());
      if (row.m_unread) {
        CPPUNIT_ASSERT(Revision(7) == *peer_revisions.unread());
      }
    }
    // The replacement completes and the record changes again while the store
    // does not answer this instance. The primary must stay unusable without a
    // new grace period. An instance that lacks only the last change has one.
    for (const std::uint64_t own : {6, 7}) {
      PeerReadRevisions peer_revisions;
      peer_revisions.RecordPeerRevision(Revision(7), Time(10s));
      peer_revisions.RecordPeerRevision(Revision(9), Time(20s));
      peer_revisions.Update(Revision(own), Time(20s));
      CPPUNIT_ASSERT_EQUAL(own == 6, peer_revisions.unread().has_value());
      peer_revisions.Update(Revision(own), Time(20s) + 300ms);
      CPPUNIT_ASSERT(Revision(9) == peer_revisions.unread());
    }
    const ReplacementCoordinator coordinator = MakeCoordinator();
    const PrimaryDecision decision =
        DecidePrimary(GroupName("g"), coordinator, MemberId("p"), std::nullopt,
                      true, Time(1s));
    CPPUNIT_ASSERT(!decision.m_view.m_usable);
    CPPUNIT_ASSERT(decision.m_abandon);
  }

  // This instance has acknowledged an intent that it has only heard of, and
  // then reads a record that was written before the intent.
  void AcknowledgementIsNotTakenBackByAnOlderRecord() {
    PeerReadRevisions peer_revisions;
    peer_revisions.RecordPeerRevision(Revision(7), Time(10s));
    peer_revisions.RecordPeerRevision(Revision(9), Time(11s));
    peer_revisions.Update(Revision(6), Time(11s));
    CPPUNIT_ASSERT(Revision(9) == peer_revisions.unread());
    peer_revisions.Update(Revision(7), Time(11s) + 20ms);
    CPPUNIT_ASSERT(Revision(9) == peer_revisions.unread());
    peer_revisions.Update(Revision(9), Time(11s) + 40ms);
    CPPUNIT_ASSERT(!peer_revisions.unread());
  }

  // The restored store holds an older record, or none: the members that declare
  // themselves, and the primary before, may have been replaced since.
  void RecordOfAnEarlierEpochNamesNoPrimary() {
    const GroupName group("g");
    struct Case {
      const char* m_name;
      bool m_has_record;
      StoreEpoch m_written_in;
      bool m_lists_all;
      std::optional<MemberId> m_usable;
    };
    const std::vector<Case> cases = {
        {"no record", false, StoreEpoch(), false, std::nullopt},
        {"earlier epoch", true, StoreEpoch(1), false, std::nullopt},
        {"this epoch", true, StoreEpoch(2), false, MemberId("recorded")},
        {"this epoch, group not listed", true, StoreEpoch(2), true,
         std::nullopt}};
    for (const Case& row : cases) {
      ReplacementCoordinator coordinator = MakeCoordinator();
      ReplacementRecord record;
      record.m_epoch = row.m_written_in;
      record.m_lists_all_groups = row.m_lists_all;
      if (!row.m_lists_all) {
        record.m_primaries = {{group, MemberId("recorded")}};
      }
      const Revision revision(StoreEpoch(2), 5);
      StoreObjects objects;
      if (row.m_has_record) {
        const std::string name = ReplacementCoordinator::kRecordName;
        objects.emplace(name, StoreObject{name, revision, record});
      }
      coordinator.OnEntries(objects, revision, Time(1s));
      const PrimaryDecision decision =
          DecidePrimary(group, coordinator, MemberId("declared"),
                        MemberId("before"), false, Time(1s));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_usable.has_value(),
                                   decision.m_view.m_usable);
      if (row.m_usable) {
        CPPUNIT_ASSERT(row.m_usable == decision.m_view.m_member);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryDecisionTest);

}  // namespace
}  // namespace jasminelug::gateway
