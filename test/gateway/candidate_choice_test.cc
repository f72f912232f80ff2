#include "src/gateway/candidate_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

const MemberId old_primary("p");
const MemberId candidate("c");
const MemberId other_candidate("d");
const MemberId leaving("l");

MemberStatus StatusAt(std::uint64_t position) {
  MemberStatus status;
  status.m_received = {Term(3), position};
  return status;
}

// Inputs of a group in which the members reported the given positions; 0 if a
// member did not answer.
CandidateInputs Inputs(std::uint64_t at_candidate,
                       std::uint64_t at_other,
                       std::uint64_t at_leaving) {
  CandidateInputs inputs;
  inputs.m_group.m_candidates = {candidate, other_candidate};
  inputs.m_group.m_leaving_replicas = {leaving};
  inputs.m_waited = 10ms;
  if (at_candidate > 0) {
    inputs.m_statuses[candidate] = StatusAt(at_candidate);
  }
  if (at_other > 0) {
    inputs.m_statuses[other_candidate] = StatusAt(at_other);
  }
  if (at_leaving > 0) {
    inputs.m_statuses[leaving] = StatusAt(at_leaving);
  }
  return inputs;
}

class CandidateChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CandidateChoiceTest);
  CPPUNIT_TEST(CommitHeldOnlyByALeavingReplicaIsNotLost);
  CPPUNIT_TEST(RefusedHolderOfACommitIsNotPassedOver);
  CPPUNIT_TEST(PlannedReplacementKeepsWhatTheOldPrimaryHolds);
  CPPUNIT_TEST(AsynchronousGroupsTakeTheMostAdvancedCandidate);
  CPPUNIT_TEST(LeavingMembersAreNoCandidates);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: writes with one synchronous replica, which is draining, while the
  // other replicas receive nothing; then the primary crashes.
  // Guards against: review case 1, an acknowledged commit is lost.
  void CommitHeldOnlyByALeavingReplicaIsNotLost() {
    struct Case {
      const char* m_name;
      int m_sync_replicas;
      CandidateInputs m_inputs;
      CandidateChoice m_expected;
    };
    const std::vector<Case> cases = {
        {"only the leaving replica has it", 1, Inputs(7, 7, 9), leaving},
        {"a candidate has it too", 1, Inputs(7, 9, 9), other_candidate},
        {"a candidate has more", 1, Inputs(9, 7, 7), candidate},
        {"the leaving replica may have it", 1, Inputs(7, 7, 0),
         StatusesMissing{}},
        {"a candidate may have it", 1, Inputs(0, 7, 9), StatusesMissing{}},
        {"asynchronous", 0, Inputs(7, 8, 9), other_candidate}};
    for (const Case& row : cases) {
      CandidateInputs inputs = row.m_inputs;
      inputs.m_group.m_sync_replicas = row.m_sync_replicas;
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == ChooseCandidate(inputs));
    }
  }

  // Load: the holder of the last commit restarts while it is promoted.
  void RefusedHolderOfACommitIsNotPassedOver() {
    for (const int sync_replicas : {0, 1}) {
      CandidateInputs inputs = Inputs(7, 9, 7);
      inputs.m_group.m_sync_replicas = sync_replicas;
      inputs.m_refused = {other_candidate};
      const CandidateChoice expected = sync_replicas > 0
                                           ? CandidateChoice(AllRefused{})
                                           : CandidateChoice(candidate);
      CPPUNIT_ASSERT(expected == ChooseCandidate(inputs));
    }
  }

  // Load: a draining replica was promoted because only it held the last
  // commits; it is now to be replaced by one that has not received them.
  void PlannedReplacementKeepsWhatTheOldPrimaryHolds() {
    struct Case {
      const char* m_name;
      int m_sync_replicas;
      CandidateInputs m_inputs;
      std::uint64_t m_at_old_primary;
      bool m_failed;
      Duration m_waited;
      CandidateChoice m_expected;
    };
    const std::vector<Case> cases = {
        {"received all", 1, Inputs(9, 7, 7), 9, false, 10ms, candidate},
        {"lacks commits", 1, Inputs(7, 7, 7), 9, false, 60s, StatusesMissing{}},
        {"only the leaving one", 1, Inputs(7, 7, 9), 9, false, 60s,
         StatusesMissing{}},
        {"position unknown", 1, Inputs(7, 7, 7), 0, false, 60s,
         StatusesMissing{}},
        {"the old primary failed", 1, Inputs(7, 7, 7), 9, true, 10ms,
         candidate},
        {"asynchronous, at once", 0, Inputs(7, 7, 7), 9, false, 10ms,
         StatusesMissing{}},
        {"asynchronous, later", 0, Inputs(7, 7, 7), 9, false, 700ms,
         candidate}};
    for (const Case& row : cases) {
      CandidateInputs inputs = row.m_inputs;
      inputs.m_group.m_sync_replicas = row.m_sync_replicas;
      inputs.m_planned = true;
      inputs.m_waited = row.m_waited;
      if (!row.m_failed) {
        inputs.m_old_primary = old_primary;
      }
      if (row.m_at_old_primary > 0) {
        inputs.m_statuses[old_primary] = StatusAt(row.m_at_old_primary);
      }
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == ChooseCandidate(inputs));
    }
  }

  void AsynchronousGroupsTakeTheMostAdvancedCandidate() {
    struct Case {
      const char* m_name;
      CandidateInputs m_inputs;
      Duration m_waited;
      CandidateChoice m_expected;
    };
    const std::vector<Case> cases = {
        {"all answered", Inputs(7, 9, 0), 10ms, other_candidate},
        {"one is silent", Inputs(7, 0, 0), 10ms, StatusesMissing{}},
        {"one is silent for long", Inputs(0, 7, 0), 300ms, other_candidate},
        {"all are silent", Inputs(0, 0, 0), 300ms, candidate}};
    for (const Case& row : cases) {
      CandidateInputs inputs = row.m_inputs;
      inputs.m_waited = row.m_waited;
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == ChooseCandidate(inputs));
    }
  }

  void LeavingMembersAreNoCandidates() {
    std::vector<Member> announced;
    for (const char* id : {"p", "c", "l", "z"}) {
      Member member;
      member.m_id = MemberId(id);
      member.m_group = GroupName("g");
      member.m_zone = ZoneName(std::string("zone-") + id);
      member.m_draining = member.m_id == leaving;
      announced.push_back(member);
    }
    MemberTable members;
    members.SetMembers(announced);
    members.SetEvacuatedZones({ZoneName("zone-z")});
    GroupCondition condition;
    condition.m_group = GroupName("g");
    condition.m_primary = old_primary;
    DescribeMembers(members, &condition);
    CPPUNIT_ASSERT(condition.m_candidates == std::vector<MemberId>{candidate});
    const std::vector<MemberId> leaving_replicas = {leaving, MemberId("z")};
    CPPUNIT_ASSERT(condition.m_leaving_replicas == leaving_replicas);
    CPPUNIT_ASSERT(!condition.m_primary_gone);
    CPPUNIT_ASSERT(!condition.m_primary_leaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CandidateChoiceTest);

}  // namespace
}  // namespace jasminelug::gateway
