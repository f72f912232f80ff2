#include "src/gateway/replacement_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

const GroupName test_group("g");
const MemberId old_primary("p");
const MemberId first_replica("r1");
const MemberId second_replica("r2");

// A fleet with one coordinator per instance. The test plays the store that
// holds the replacement record.
class Fleet {
 public:
  struct Instance {
    std::unique_ptr<ReplacementCoordinator> m_coordinator;
    std::vector<PromotionOrder> m_orders;
    std::vector<MemberId> m_status_requests;
    int m_abandoned_promotions = 0;
    int m_instances_read = 0;
  };

  explicit Fleet(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      Add(name);
    }
  }

  // Starts an instance, or starts it again. It has read that there is no
  // record yet if `is_listed`.
  void Add(const std::string& name, bool is_listed = true) {
    Instance& instance = m_instances[name];
    ReplacementOptions options;
    options.m_self = InstanceId(name);
    ReplacementCoordinator::Hooks hooks;
    hooks.m_write = [this, name](const ReplacementRecord& record,
                                 std::optional<Revision> expected) {
      m_writes.push_back({name, record, expected});
    };
    hooks.m_promote = [this, name](const PromotionOrder& order) {
      m_instances[name].m_orders.push_back(order);
      m_all_orders.push_back(order);
    };
    hooks.m_abandon_write = [] {};
    hooks.m_abandon_promotion = [this, name] {
      m_instances[name].m_abandoned_promotions += 1;
    };
    hooks.m_read_instances = [this, name] {
      m_instances[name].m_instances_read += 1;
    };
    hooks.m_request_status = [this, name](const MemberId& member) {
      m_instances[name].m_status_requests.push_back(member);
    };
    hooks.m_report = [](const std::string&, const ReplacementIntent&) {};
    instance.m_coordinator =
        std::make_unique<ReplacementCoordinator>(options, std::move(hooks));
    if (is_listed) {
      instance.m_coordinator->OnEntries({}, Revision(), m_now);
    }
  }

  ReplacementCoordinator& At(const std::string& name) {
    return *m_instances[name].m_coordinator;
  }

  // Applies the pending writes as the store does: a write that expects an
  // outdated revision fails with a conflict.
  void ApplyWrites() {
    std::vector<PendingWrite> writes;
    writes.swap(m_writes);
    for (const PendingWrite& write : writes) {
      if (write.m_expected != m_revision) {
        At(write.m_writer)
            .OnWritten(StoreError{StoreErrorKind::kConflict, ""}, m_now);
        continue;
      }
      m_revision = Revision(++m_last_revision);
      m_record = write.m_record;
      if (!m_lose_answers) {
        At(write.m_writer).OnWritten(Stored(), m_now);
      }
    }
  }

  StoreObject Stored() const {
    return {ReplacementCoordinator::kRecordName, *m_revision, m_record};
  }

  // Delivers the current record to an instance.
  void Watch(const std::string& name) {
    if (m_revision) {
      At(name).OnEntries({{ReplacementCoordinator::kRecordName, Stored()}},
                         *m_revision, m_now);
    }
  }

  void Tick(const std::string& name,
            const GroupCondition& group,
            const FleetCondition& fleet) {
    At(name).OnTick({group}, fleet, m_now);
  }

  void AdvanceTime(Duration duration) { m_now += duration; }

  struct PendingWrite {
    std::string m_writer;
    ReplacementRecord m_record;
    std::optional<Revision> m_expected;
  };

  Time m_now = Time(100s);
  std::map<std::string, Instance> m_instances;
  std::vector<PendingWrite> m_writes;
  std::vector<PromotionOrder> m_all_orders;
  std::optional<Revision> m_revision;
  ReplacementRecord m_record;
  std::uint64_t m_last_revision = 40;
  bool m_lose_answers = false;
};

GroupCondition FailedPrimary(const Fleet& fleet) {
  GroupCondition group;
  group.m_group = test_group;
  group.m_primary = old_primary;
  group.m_candidates = {first_replica, second_replica};
  group.m_failing_since = fleet.m_now - 2s;
  group.m_others_unreachable = 2;
  return group;
}

FleetCondition LiveFleet(bool acknowledged) {
  FleetCondition fleet;
  fleet.m_all_acknowledged = acknowledged;
  // The list of instances is newer than any intent.
  fleet.m_instances_as_of = Time::max();
  fleet.m_contact_recent = true;
  fleet.m_coordinator_live = true;
  return fleet;
}

// Returns the status of a member; the promoted member leads term 4.
MemberStatus StatusAt(std::uint64_t position, MemberRole role) {
  MemberStatus status;
  status.m_role = role;
  status.m_term = Term(role == MemberRole::kPrimary ? 4 : 3);
  status.m_received = {Term(3), position};
  return status;
}

class ReplacementCoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacementCoordinatorTest);
  CPPUNIT_TEST(ProposesByPeerReports);
  CPPUNIT_TEST(WaitsForAcknowledgementsOrTheContactLimit);
  CPPUNIT_TEST(PlannedReplacementWaitsForOpenTransactions);
  CPPUNIT_TEST(InstancesAreReadAfterTheIntent);
  CPPUNIT_TEST(PromotesTheMostAdvancedCandidate);
  CPPUNIT_TEST(RecordsThePrimaryOnlyOnceItLeads);
  CPPUNIT_TEST(MemberThatLedAnEarlierTermIsNotTakenForTheNewPrimary);
  CPPUNIT_TEST(TakenOverPromotionThatWasDoneIsRecorded);
  CPPUNIT_TEST(TriesAnotherCandidateAfterARefusal);
  CPPUNIT_TEST(RepeatsTheSameOrderAfterALostAnswer);
  CPPUNIT_TEST(SynchronousGroupsNeedAllPositions);
  CPPUNIT_TEST(LateStatusOfAnEarlierRequestIsNotUsed);
  CPPUNIT_TEST(LateStatusDoesNotConfirmAPromotion);
  CPPUNIT_TEST(LateStatusIsNotPartOfASurvey);
  CPPUNIT_TEST(DrainingReplicaWithTheLastCommitsIsPromoted);
  CPPUNIT_TEST(PlannedReplacementWaitsForAFollowingReplica);
  CPPUNIT_TEST(PlannedReplacementWaitsForTheLog);
  CPPUNIT_TEST(UnresponsiveCoordinatorIsTakenOver);
  CPPUNIT_TEST(CoordinatorsThatDoNotHearEachOtherEndTheReplacement);
  CPPUNIT_TEST(OldCoordinatorAbandonsItsOrder);
  CPPUNIT_TEST(OrderEndsWithoutContact);
  CPPUNIT_TEST(StoppingCoordinatorEndsItsReplacement);
  CPPUNIT_TEST(LostAnswerToTheIntentIsReadBack);
  CPPUNIT_TEST(DoesNothingWithoutContact);
  CPPUNIT_TEST(FencingTokensGrowWithRacingCoordinators);
  CPPUNIT_TEST(PausesBetweenPromotionsOfTwoCoordinators);
  CPPUNIT_TEST(PausesAfterACoordinatorThatDoesNotKnowThatItWasTakenOver);
  CPPUNIT_TEST(PausesAfterARestartAmidAReplacement);
  CPPUNIT_TEST(DoesNothingWhileOthersHaveANewerRecord);
  CPPUNIT_TEST(LastCoordinatorProposesFirst);
  CPPUNIT_TEST(RestoredRecordIsReplacedByASurvey);
  CPPUNIT_TEST(SurveyWaitsForTheConfigurationAndAMember);
  CPPUNIT_TEST(OrderOfTheLostHistoryIsAbandoned);
  CPPUNIT_TEST(OutdatedPeerReportsDoNotReplaceANewPrimary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ProposesByPeerReports() {
    struct Case {
      const char* m_name;
      bool m_failing;
      Duration m_for;
      int m_unreachable;
      int m_reachable;
      bool m_gone;
      bool m_leaves;
      bool m_proposes;
      bool m_not_observed = false;
    };
    const std::vector<Case> cases = {
        {"all lost it", true, 2s, 5, 0, false, false, true},
        {"only this one", true, 2s, 0, 5, false, false, false},
        {"too short", true, 100ms, 5, 0, false, false, false},
        {"most lost it", true, 2s, 3, 3, false, false, true},
        {"most have it", true, 2s, 2, 3, false, false, false},
        {"reached", false, 0s, 5, 0, false, false, false},
        {"not announced", false, 0s, 0, 0, true, false, true},
        {"leaving", false, 0s, 0, 5, false, true, true},
        {"not asked", false, 0s, 5, 0, false, false, true, true},
        {"not asked, few say", false, 0s, 1, 0, false, false, false, true},
        {"not asked, many reach", false, 0s, 3, 4, false, false, false, true}};
    for (const Case& row : cases) {
      Fleet fleet({"a"});
      GroupCondition group = FailedPrimary(fleet);
      group.m_failing_since.reset();
      if (row.m_failing) {
        group.m_failing_since = fleet.m_now - row.m_for;
      }
      group.m_others_unreachable = row.m_unreachable;
      group.m_others_reachable = row.m_reachable;
      group.m_primary_gone = row.m_gone;
      group.m_primary_leaving = row.m_leaves;
      group.m_not_observed = row.m_not_observed;
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_proposes,
                                   !fleet.m_writes.empty());
      if (row.m_proposes) {
        CPPUNIT_ASSERT_EQUAL(row.m_leaves,
                             fleet.m_writes[0].m_record.m_intent->m_planned);
      }
    }
  }

  // Advances the coordinator `name` until it sends its promotion order.
  static void Promote(Fleet* fleet, const std::string& name) {
    fleet->Tick(name, FailedPrimary(*fleet), LiveFleet(false));
    fleet->ApplyWrites();
    fleet->AdvanceTime(20ms);
    fleet->Tick(name, FailedPrimary(*fleet), LiveFleet(true));
    fleet->At(name).OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                             fleet->m_now);
    fleet->At(name).OnStatus(second_replica, StatusAt(9, MemberRole::kReplica),
                             fleet->m_now);
    fleet->AdvanceTime(20ms);
    fleet->Tick(name, FailedPrimary(*fleet), LiveFleet(true));
  }

  void WaitsForAcknowledgementsOrTheContactLimit() {
    for (const bool acknowledged : {true, false}) {
      Fleet fleet({"a"});
      fleet.Tick("a", FailedPrimary(fleet), LiveFleet(false));
      fleet.ApplyWrites();
      fleet.AdvanceTime(1s);
      fleet.Tick("a", FailedPrimary(fleet), LiveFleet(acknowledged));
      CPPUNIT_ASSERT_EQUAL(acknowledged,
                           !fleet.m_instances["a"].m_status_requests.empty());
      fleet.AdvanceTime(ReplacementOptions().m_contact_limit);
      fleet.Tick("a", FailedPrimary(fleet), LiveFleet(acknowledged));
      CPPUNIT_ASSERT(!fleet.m_instances["a"].m_status_requests.empty());
    }
  }

  // An instance reads the intent just before its contact is too old, and then
  // ends its transactions at the old primary.
  void PlannedReplacementWaitsForOpenTransactions() {
    for (const bool planned : {false, true}) {
      Fleet fleet({"a"});
      GroupCondition group = FailedPrimary(fleet);
      if (planned) {
        group.m_failing_since.reset();
        group.m_primary_leaving = true;
      }
      fleet.Tick("a", group, LiveFleet(false));
      fleet.ApplyWrites();
      fleet.AdvanceTime(ReplacementOptions().m_contact_limit + 300ms);
      fleet.Tick("a", group, LiveFleet(false));
      CPPUNIT_ASSERT_EQUAL(planned,
                           fleet.m_instances["a"].m_status_requests.empty());
      fleet.AdvanceTime(ReplacementCoordinator::kPlannedEndLimit);
      fleet.Tick("a", group, LiveFleet(false));
      CPPUNIT_ASSERT(!fleet.m_instances["a"].m_status_requests.empty());
    }
  }

  // An instance registers just before the intent, reads the previous record,
  // and loses contact with the store. The coordinator's list of instances does
  // not contain it, so all listed instances have acknowledged although it still
  // uses the old primary. The coordinator must read the list again after the
  // intent.
  void InstancesAreReadAfterTheIntent() {
    Fleet fleet({"a"});
    FleetCondition old_list = LiveFleet(true);
    old_list.m_instances_as_of = fleet.m_now;
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", FailedPrimary(fleet), old_list);
    fleet.ApplyWrites();
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", FailedPrimary(fleet), old_list);
    CPPUNIT_ASSERT(fleet.m_instances["a"].m_status_requests.empty());
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_instances["a"].m_instances_read);
    FleetCondition new_list = LiveFleet(false);
    new_list.m_instances_as_of = fleet.m_now;
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", FailedPrimary(fleet), new_list);
    CPPUNIT_ASSERT(fleet.m_instances["a"].m_status_requests.empty());
    new_list.m_all_acknowledged = true;
    fleet.Tick("a", FailedPrimary(fleet), new_list);
    CPPUNIT_ASSERT(!fleet.m_instances["a"].m_status_requests.empty());
  }

  void PromotesTheMostAdvancedCandidate() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(second_replica == fleet.m_all_orders[0].m_candidate);
    CPPUNIT_ASSERT(*fleet.m_revision == fleet.m_all_orders[0].m_fencing_token);
  }

  void RecordsThePrimaryOnlyOnceItLeads() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    for (int i = 0; i < 5; ++i) {
      fleet.AdvanceTime(100ms);
      fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kReplica),
                             fleet.m_now);
      fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
      CPPUNIT_ASSERT(fleet.m_writes.empty());
    }
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    fleet.ApplyWrites();
    CPPUNIT_ASSERT(second_replica == fleet.At("a").PrimaryOf(test_group));
    CPPUNIT_ASSERT(!fleet.At("a").IntentFor(test_group));
  }

  // A member that was replaced while it was cut off still takes itself for the
  // primary of its earlier term when it is promoted again.
  void MemberThatLedAnEarlierTermIsNotTakenForTheNewPrimary() {
    struct Case {
      const char* m_name;
      bool m_declared;
      bool m_reported;
    };
    const std::vector<Case> cases = {{"its entry says so", true, false},
                                     {"its status says so", false, true}};
    for (const Case& row : cases) {
      Fleet fleet({"a"});
      GroupCondition group = FailedPrimary(fleet);
      if (row.m_declared) {
        group.m_self_declared = {second_replica};
      }
      fleet.Tick("a", group, LiveFleet(false));
      fleet.ApplyWrites();
      fleet.AdvanceTime(20ms);
      fleet.Tick("a", group, LiveFleet(true));
      MemberStatus earlier = StatusAt(9, MemberRole::kPrimary);
      earlier.m_term = Term(3);
      fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                             fleet.m_now);
      fleet.At("a").OnStatus(second_replica, earlier, fleet.m_now);
      fleet.AdvanceTime(20ms);
      fleet.Tick("a", group, LiveFleet(true));
      fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
      for (int i = 0; i < 10; ++i) {
        fleet.AdvanceTime(100ms);
        if (row.m_reported) {
          fleet.At("a").OnStatus(second_replica, earlier, fleet.m_now);
        }
        fleet.Tick("a", group, LiveFleet(true));
        CPPUNIT_ASSERT_MESSAGE(row.m_name, fleet.m_writes.empty());
      }
      fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                             fleet.m_now);
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::size_t{1},
                                   fleet.m_writes.size());
    }
  }

  // The earlier coordinator was lost after its promotion was carried out.
  // Promoting the same member again changes nothing, not even its term.
  void TakenOverPromotionThatWasDoneIsRecorded() {
    Fleet fleet({"a"});
    const GroupCondition group = FailedPrimary(fleet);
    fleet.Tick("a", group, LiveFleet(false));
    fleet.ApplyWrites();
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                           fleet.m_now);
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    fleet.AdvanceTime(ReplacementCoordinator::kPromotionEffectLimit + 10ms);
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.ApplyWrites();
    CPPUNIT_ASSERT(second_replica == fleet.At("a").PrimaryOf(test_group));
  }

  void TriesAnotherCandidateAfterARefusal() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    fleet.At("a").OnPromoted(PromotionResult::kRefused, fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                           fleet.m_now);
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kReplica),
                           fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(first_replica == fleet.m_all_orders[1].m_candidate);
  }

  void RepeatsTheSameOrderAfterALostAnswer() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    fleet.AdvanceTime(ReplacementCoordinator::kCallTimeout + 10ms);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_instances["a"].m_abandoned_promotions);
    fleet.AdvanceTime(300ms);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(fleet.m_all_orders[0] == fleet.m_all_orders[1]);
  }

  // A member answers a request that was sent before the old primary was unused.
  // It may have received commits since.
  void LateStatusOfAnEarlierRequestIsNotUsed() {
    Fleet fleet({"a"});
    GroupCondition group = FailedPrimary(fleet);
    group.m_sync_replicas = 1;
    fleet.Tick("a", group, LiveFleet(false));
    fleet.ApplyWrites();
    const Time requested = fleet.m_now;
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                           fleet.m_now);
    fleet.At("a").OnStatus(second_replica, StatusAt(6, MemberRole::kReplica),
                           requested);
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_all_orders.empty());
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kReplica),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(second_replica == fleet.m_all_orders[0].m_candidate);
  }

  // The promoted member led an earlier term when it answered, and the promotion
  // was lost.
  void LateStatusDoesNotConfirmAPromotion() {
    Fleet fleet({"a"});
    const Time requested = fleet.m_now;
    Promote(&fleet, "a");
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    fleet.AdvanceTime(ReplacementCoordinator::kPromotionEffectLimit + 10ms);
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           requested);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(!fleet.m_writes.empty());
  }

  // A member answers a request from before the epoch began.
  void LateStatusIsNotPartOfASurvey() {
    Fleet fleet({"a"});
    const Time requested = fleet.m_now;
    GroupCondition group = FailedPrimary(fleet);
    group.m_members = {first_replica};
    const Revision revision(StoreEpoch(1), 3);
    fleet.m_last_revision = revision.value();
    fleet.At("a").OnEntries({}, revision, fleet.m_now);
    for (int i = 0; i < 10; ++i) {
      fleet.AdvanceTime(1s);
      fleet.Tick("a", group, LiveFleet(true));
    }
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kPrimary),
                           requested);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT(!fleet.m_writes.empty());
  }

  void SynchronousGroupsNeedAllPositions() {
    Fleet fleet({"a"});
    GroupCondition group = FailedPrimary(fleet);
    group.m_sync_replicas = 1;
    fleet.Tick("a", group, LiveFleet(false));
    fleet.ApplyWrites();
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                           fleet.m_now);
    fleet.AdvanceTime(2s);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_all_orders.empty());
    fleet.At("a").OnStatus(second_replica, StatusAt(6, MemberRole::kReplica),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(first_replica == fleet.m_all_orders[0].m_candidate);
  }

  // Guards against: review case 1. The only replica that received the last
  // acknowledged commits drains, and the other one was promoted.
  void DrainingReplicaWithTheLastCommitsIsPromoted() {
    Fleet fleet({"a"});
    GroupCondition group = FailedPrimary(fleet);
    group.m_sync_replicas = 1;
    group.m_candidates = {first_replica};
    group.m_leaving_replicas = {second_replica};
    fleet.Tick("a", group, LiveFleet(false));
    fleet.ApplyWrites();
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    const std::vector<MemberId> asked = {first_replica, second_replica};
    CPPUNIT_ASSERT(asked == fleet.m_instances["a"].m_status_requests);
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                           fleet.m_now);
    fleet.AdvanceTime(2s);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_all_orders.empty());
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kReplica),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(second_replica == fleet.m_all_orders[0].m_candidate);
  }

  // Load: writes to a draining primary whose replicas receive nothing. An
  // intent would leave the group without a primary until they do.
  void PlannedReplacementWaitsForAFollowingReplica() {
    for (const int sync_replicas : {0, 1}) {
      Fleet fleet({"a"});
      GroupCondition group = FailedPrimary(fleet);
      group.m_sync_replicas = sync_replicas;
      group.m_failing_since.reset();
      group.m_primary_leaving = true;
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_EQUAL(sync_replicas == 0, !fleet.m_writes.empty());
      if (sync_replicas == 0) {
        continue;
      }
      for (const std::uint64_t position : {9, 12, 20}) {
        fleet.At("a").OnStatus(
            old_primary, StatusAt(position, MemberRole::kPrimary), fleet.m_now);
        fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                               fleet.m_now);
        fleet.AdvanceTime(1s);
        fleet.Tick("a", group, LiveFleet(true));
        CPPUNIT_ASSERT(fleet.m_writes.empty());
      }
      // The replica is behind the primary's newest commits, but it follows.
      fleet.At("a").OnStatus(first_replica, StatusAt(10, MemberRole::kReplica),
                             fleet.m_now);
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_writes.size());
      CPPUNIT_ASSERT(fleet.m_writes[0].m_record.m_intent->m_planned);
    }
  }

  void PlannedReplacementWaitsForTheLog() {
    Fleet fleet({"a"});
    GroupCondition group = FailedPrimary(fleet);
    group.m_failing_since.reset();
    group.m_primary_leaving = true;
    fleet.Tick("a", group, LiveFleet(false));
    fleet.ApplyWrites();
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.At("a").OnStatus(old_primary, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                           fleet.m_now);
    fleet.AdvanceTime(100ms);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_all_orders.empty());
    fleet.At("a").OnStatus(first_replica, StatusAt(9, MemberRole::kReplica),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(first_replica == fleet.m_all_orders[0].m_candidate);
  }

  void UnresponsiveCoordinatorIsTakenOver() {
    Fleet fleet({"a", "b"});
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(false));
    fleet.ApplyWrites();
    fleet.Watch("b");
    FleetCondition unresponsive = LiveFleet(false);
    unresponsive.m_coordinator_live = false;
    fleet.Tick("b", FailedPrimary(fleet), unresponsive);
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    fleet.AdvanceTime(ReplacementCoordinator::kTakeOverUnresponsiveAfter);
    fleet.Tick("b", FailedPrimary(fleet), LiveFleet(false));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    fleet.Tick("b", FailedPrimary(fleet), unresponsive);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_writes.size());
    CPPUNIT_ASSERT(InstanceId("b") == fleet.m_writes[0].m_record.m_coordinator);
  }

  // Load: restarts beside a failing primary, so that each of several instances
  // takes the coordinator for unresponsive while it waits.
  // Guards against: a replacement that never ends.
  void CoordinatorsThatDoNotHearEachOtherEndTheReplacement() {
    const std::vector<std::string> names = {"a", "b", "c"};
    Fleet fleet(names);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(false));
    fleet.ApplyWrites();
    const Time begin = fleet.m_now;
    while (fleet.m_all_orders.empty() && fleet.m_now - begin < 60s) {
      // The first coordinator is taken over before all have acknowledged.
      const bool acknowledged = fleet.m_now - begin > 1500ms;
      for (const std::string& name : names) {
        fleet.Watch(name);
        FleetCondition condition = LiveFleet(acknowledged);
        condition.m_coordinator_live =
            fleet.m_record.m_coordinator.str() == name;
        fleet.Tick(name, FailedPrimary(fleet), condition);
        fleet.ApplyWrites();
        for (const MemberId& member : {first_replica, second_replica}) {
          fleet.At(name).OnStatus(member, StatusAt(7, MemberRole::kReplica),
                                  fleet.m_now);
        }
      }
      fleet.AdvanceTime(10ms);
    }
    CPPUNIT_ASSERT(!fleet.m_all_orders.empty());
    CPPUNIT_ASSERT(fleet.m_now - begin < 12s);
  }

  void OldCoordinatorAbandonsItsOrder() {
    Fleet fleet({"a", "b"});
    Promote(&fleet, "a");
    fleet.Watch("b");
    FleetCondition unresponsive = LiveFleet(false);
    unresponsive.m_coordinator_live = false;
    fleet.AdvanceTime(ReplacementCoordinator::kTakeOverUnresponsiveAfter);
    fleet.Tick("b", FailedPrimary(fleet), unresponsive);
    fleet.ApplyWrites();
    fleet.Watch("a");
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_instances["a"].m_abandoned_promotions);
    // A late answer has no effect.
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
  }

  // A coordinator is cut off while its order is on the way. Another one counts
  // on the end of the call.
  void OrderEndsWithoutContact() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    FleetCondition cut_off = LiveFleet(true);
    cut_off.m_contact_recent = false;
    fleet.AdvanceTime(ReplacementCoordinator::kCallTimeout + 10ms);
    fleet.Tick("a", FailedPrimary(fleet), cut_off);
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_instances["a"].m_abandoned_promotions);
    fleet.AdvanceTime(1s);
    fleet.Tick("a", FailedPrimary(fleet), cut_off);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
  }

  void StoppingCoordinatorEndsItsReplacement() {
    Fleet fleet({"a", "b"});
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(false));
    fleet.ApplyWrites();
    fleet.At("a").Stop();
    fleet.AdvanceTime(20ms);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(!fleet.m_instances["a"].m_status_requests.empty());
    fleet.At("b").Stop();
    fleet.Tick("b", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
  }

  // The store comes back with a record that names a primary that was replaced.
  void RestoredRecordIsReplacedByASurvey() {
    const StoreEpoch restored(1);
    struct Case {
      const char* m_name;
      // Whether all members answer, and the term that the recorded primary
      // leads.
      bool m_all_answer;
      std::uint64_t m_old_term;
      std::optional<MemberId> m_primary;
    };
    const std::vector<Case> cases = {
        {"the primary of the newest term", true, 3, second_replica},
        {"the recorded primary is that", true, 5, old_primary},
        {"one does not answer", false, 3, std::nullopt}};
    for (const Case& row : cases) {
      Fleet fleet({"a"});
      GroupCondition group = FailedPrimary(fleet);
      group.m_members = {old_primary, first_replica, second_replica};
      ReplacementRecord lost;
      lost.m_primaries = {{test_group, old_primary}};
      const Revision revision(restored, 30);
      fleet.m_revision = revision;
      fleet.m_last_revision = revision.value();
      const StoreObject stored{ReplacementCoordinator::kRecordName, revision,
                               lost};
      fleet.At("a").OnEntries({{stored.m_name, stored}}, revision, fleet.m_now);
      CPPUNIT_ASSERT(!fleet.At("a").is_record_valid());
      fleet.AdvanceTime(ReplacementOptions().m_contact_limit);
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             fleet.m_instances["a"].m_status_requests.empty());
      fleet.AdvanceTime(300ms);
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                           fleet.m_instances["a"].m_status_requests.size());
      MemberStatus old_status = StatusAt(9, MemberRole::kPrimary);
      old_status.m_term = Term(row.m_old_term);
      fleet.At("a").OnStatus(old_primary, old_status, fleet.m_now);
      fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kReplica),
                             fleet.m_now);
      if (row.m_all_answer) {
        fleet.At("a").OnStatus(second_replica,
                               StatusAt(9, MemberRole::kPrimary), fleet.m_now);
      }
      fleet.AdvanceTime(20ms);
      fleet.Tick("a", group, LiveFleet(true));
      CPPUNIT_ASSERT_EQUAL(row.m_all_answer, !fleet.m_writes.empty());
      fleet.AdvanceTime(1100ms);
      fleet.Tick("a", group, LiveFleet(true));
      fleet.ApplyWrites();
      CPPUNIT_ASSERT(fleet.At("a").is_record_valid());
      CPPUNIT_ASSERT(fleet.m_record.m_epoch == restored);
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, row.m_primary == fleet.At("a").PrimaryOf(test_group));
    }
  }

  // The fleet starts before the operators have written a configuration, or
  // before a member can be reached. A record without primaries would have each
  // group replaced.
  void SurveyWaitsForTheConfigurationAndAMember() {
    Fleet fleet({"a"});
    const Revision revision(StoreEpoch(1), 3);
    fleet.m_last_revision = revision.value();
    fleet.At("a").OnEntries({}, revision, fleet.m_now);
    fleet.AdvanceTime(10s);
    fleet.At("a").OnTick({}, LiveFleet(true), fleet.m_now);
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    GroupCondition group = FailedPrimary(fleet);
    for (int i = 0; i < 5; ++i) {
      fleet.Tick("a", group, LiveFleet(true));
      fleet.AdvanceTime(1s);
    }
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    group.m_members = {first_replica};
    fleet.At("a").OnStatus(first_replica, StatusAt(7, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", group, LiveFleet(true));
    fleet.ApplyWrites();
    CPPUNIT_ASSERT(first_replica == fleet.At("a").PrimaryOf(test_group));
  }

  void OrderOfTheLostHistoryIsAbandoned() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    fleet.At("a").OnEntries({}, Revision(StoreEpoch(1), 3), fleet.m_now);
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_instances["a"].m_abandoned_promotions);
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    CPPUNIT_ASSERT(!fleet.At("a").PrimaryOf(test_group));
  }

  void LostAnswerToTheIntentIsReadBack() {
    Fleet fleet({"a"});
    fleet.m_lose_answers = true;
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(false));
    fleet.ApplyWrites();
    fleet.Watch("a");
    CPPUNIT_ASSERT(fleet.At("a").IntentFor(test_group));
    fleet.AdvanceTime(ReplacementCoordinator::kCallTimeout + 10ms);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    fleet.AdvanceTime(200ms);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    CPPUNIT_ASSERT(!fleet.m_instances["a"].m_status_requests.empty());
  }

  void DoesNothingWithoutContact() {
    Fleet fleet({"a"});
    FleetCondition disconnected = LiveFleet(true);
    disconnected.m_contact_recent = false;
    fleet.Tick("a", FailedPrimary(fleet), disconnected);
    CPPUNIT_ASSERT(fleet.m_writes.empty());
  }

  // In a large test fleet, two instances promoted within 0.8 s of each other.
  // The platform requires a pause of 3 s between different coordinators.
  void PausesBetweenPromotionsOfTwoCoordinators() {
    Fleet fleet({"a", "b"});
    Promote(&fleet, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
    const Time first = fleet.m_now;
    fleet.Watch("b");
    FleetCondition unresponsive = LiveFleet(true);
    unresponsive.m_coordinator_live = false;
    fleet.AdvanceTime(ReplacementCoordinator::kTakeOverUnresponsiveAfter);
    for (int i = 0; i < 600 && fleet.m_all_orders.size() < 2; ++i) {
      fleet.Tick("b", FailedPrimary(fleet), unresponsive);
      fleet.ApplyWrites();
      for (const MemberId& member : {first_replica, second_replica}) {
        fleet.At("b").OnStatus(member, StatusAt(7, MemberRole::kReplica),
                               fleet.m_now);
      }
      fleet.AdvanceTime(10ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.m_all_orders.size());
    CPPUNIT_ASSERT(fleet.m_now - first > 3s);
  }

  // Lets `name` act until it sends an order, or at most for 10 s.
  static void RunUntilOrder(Fleet* fleet,
                            const std::string& name,
                            const FleetCondition& condition) {
    const std::size_t before = fleet->m_all_orders.size();
    for (int i = 0; i < 1000 && fleet->m_all_orders.size() == before; ++i) {
      fleet->AdvanceTime(10ms);
      fleet->Tick(name, FailedPrimary(*fleet), condition);
      fleet->ApplyWrites();
      for (const MemberId& member : {first_replica, second_replica}) {
        fleet->At(name).OnStatus(member, StatusAt(7, MemberRole::kReplica),
                                 fleet->m_now);
      }
    }
    CPPUNIT_ASSERT_EQUAL(before + 1, fleet->m_all_orders.size());
  }

  // Load: a coordinator whose intent was taken over reads that late.
  // Guards against: two instances that promote within the pause.
  void PausesAfterACoordinatorThatDoesNotKnowThatItWasTakenOver() {
    // Whether the new coordinator keeps its contact meanwhile.
    for (const bool contact : {true, false}) {
      Fleet fleet({"a", "b"});
      fleet.Tick("a", FailedPrimary(fleet), LiveFleet(false));
      fleet.ApplyWrites();
      fleet.Watch("b");
      fleet.AdvanceTime(ReplacementCoordinator::kTakeOverUnresponsiveAfter);
      FleetCondition unresponsive = LiveFleet(false);
      unresponsive.m_coordinator_live = false;
      fleet.Tick("b", FailedPrimary(fleet), unresponsive);
      fleet.ApplyWrites();
      FleetCondition meanwhile = unresponsive;
      meanwhile.m_contact_recent = contact;
      for (int i = 0; i < 180; ++i) {
        fleet.AdvanceTime(10ms);
        fleet.Tick("b", FailedPrimary(fleet), meanwhile);
      }
      RunUntilOrder(&fleet, "a", LiveFleet(true));
      const Time first = fleet.m_now;
      fleet.AdvanceTime(500ms);
      RunUntilOrder(&fleet, "b", unresponsive);
      CPPUNIT_ASSERT(fleet.m_now - first >
                     ReplacementCoordinator::kCoordinatorChangePause);
    }
  }

  // Load: an instance takes an intent over and restarts.
  // Guards against: as above; it does not know whose intent it was.
  void PausesAfterARestartAmidAReplacement() {
    Fleet fleet({"a", "b"});
    Promote(&fleet, "a");
    const Time first = fleet.m_now;
    fleet.Watch("b");
    fleet.AdvanceTime(ReplacementCoordinator::kTakeOverUnresponsiveAfter);
    FleetCondition unresponsive = LiveFleet(true);
    unresponsive.m_coordinator_live = false;
    fleet.Tick("b", FailedPrimary(fleet), unresponsive);
    fleet.ApplyWrites();
    fleet.Add("b", /*is_listed=*/false);
    fleet.Watch("b");
    RunUntilOrder(&fleet, "b", unresponsive);
    CPPUNIT_ASSERT(fleet.m_now - first >
                   ReplacementCoordinator::kCoordinatorChangePause);
  }

  // Load: the store refuses a coordinator, whose peers report a newer record.
  // It acknowledges that record although it has not read it.
  // Guards against: as above.
  void DoesNothingWhileOthersHaveANewerRecord() {
    Fleet fleet({"a"});
    Promote(&fleet, "a");
    FleetCondition outdated = LiveFleet(true);
    outdated.m_has_unread_record = true;
    for (int i = 0; i < 200; ++i) {
      fleet.AdvanceTime(10ms);
      fleet.Tick("a", FailedPrimary(fleet), outdated);
    }
    CPPUNIT_ASSERT_EQUAL(1, fleet.m_instances["a"].m_abandoned_promotions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_all_orders.size());
  }

  // After a replacement, peer reports about the old primary made instances that
  // had not yet contacted the new primary replace that one as well.
  void OutdatedPeerReportsDoNotReplaceANewPrimary() {
    Fleet fleet({"a", "b"});
    Promote(&fleet, "a");
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    fleet.ApplyWrites();
    fleet.Watch("b");
    GroupCondition not_observed = FailedPrimary(fleet);
    not_observed.m_failing_since.reset();
    not_observed.m_not_observed = true;
    not_observed.m_others_unreachable = 60;
    for (int i = 0; i < 100; ++i) {
      fleet.AdvanceTime(10ms);
      fleet.Tick("a", not_observed, LiveFleet(true));
      fleet.Tick("b", not_observed, LiveFleet(true));
      CPPUNIT_ASSERT(fleet.m_writes.empty());
    }
    // The reports count again once they can only refer to the new primary.
    fleet.AdvanceTime(3s);
    fleet.Tick("a", not_observed, LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_writes.size());
  }

  void LastCoordinatorProposesFirst() {
    Fleet fleet({"a", "b"});
    Promote(&fleet, "a");
    fleet.At("a").OnPromoted(PromotionResult::kDone, fleet.m_now);
    fleet.At("a").OnStatus(second_replica, StatusAt(9, MemberRole::kPrimary),
                           fleet.m_now);
    fleet.Tick("a", FailedPrimary(fleet), LiveFleet(true));
    fleet.ApplyWrites();
    fleet.Watch("b");
    fleet.AdvanceTime(300ms);
    GroupCondition other = FailedPrimary(fleet);
    other.m_group = GroupName("h");
    GroupCondition healthy = other;
    healthy.m_failing_since.reset();
    fleet.Tick("b", healthy, LiveFleet(true));
    fleet.Tick("a", healthy, LiveFleet(true));
    fleet.AdvanceTime(20ms);
    // Both instances observe that another group's primary failed.
    fleet.Tick("b", other, LiveFleet(true));
    CPPUNIT_ASSERT(fleet.m_writes.empty());
    fleet.Tick("a", other, LiveFleet(true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_writes.size());
    CPPUNIT_ASSERT(InstanceId("a") == fleet.m_writes[0].m_record.m_coordinator);
  }

  // Several instances observe the failure at the same moment, repeatedly. Each
  // time just one may promote, with a higher fencing token than before.
  void FencingTokensGrowWithRacingCoordinators() {
    Fleet fleet({"a", "b", "c"});
    Revision last;
    for (int round = 0; round < 5; ++round) {
      for (const char* name : {"c", "a", "b"}) {
        fleet.Tick(name, FailedPrimary(fleet), LiveFleet(false));
      }
      fleet.ApplyWrites();
      for (const char* name : {"a", "b", "c"}) {
        fleet.Watch(name);
      }
      fleet.AdvanceTime(20ms);
      for (const char* name : {"a", "b", "c"}) {
        fleet.Tick(name, FailedPrimary(fleet), LiveFleet(true));
        fleet.At(name).OnStatus(first_replica,
                                StatusAt(7, MemberRole::kReplica), fleet.m_now);
        fleet.At(name).OnStatus(second_replica,
                                StatusAt(9, MemberRole::kReplica), fleet.m_now);
        fleet.Tick(name, FailedPrimary(fleet), LiveFleet(true));
      }
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(round) + 1,
                           fleet.m_all_orders.size());
      CPPUNIT_ASSERT(last < fleet.m_all_orders.back().m_fencing_token);
      last = fleet.m_all_orders.back().m_fencing_token;
      const std::string winner = fleet.m_all_orders.back().m_coordinator.str();
      fleet.At(winner).OnPromoted(PromotionResult::kDone, fleet.m_now);
      fleet.At(winner).OnStatus(second_replica,
                                StatusAt(9, MemberRole::kPrimary), fleet.m_now);
      fleet.Tick(winner, FailedPrimary(fleet), LiveFleet(true));
      fleet.ApplyWrites();
      for (const char* name : {"a", "b", "c"}) {
        fleet.Watch(name);
      }
      fleet.AdvanceTime(500ms);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacementCoordinatorTest);

}  // namespace
}  // namespace jasminelug::gateway
