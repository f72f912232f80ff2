// Part of ReplacementCoordinator that proposes replacements and surveys, and
// takes over those of lost coordinators.

#include <algorithm>
#include <utility>

#include "src/gateway/replacement_coordinator.h"

namespace jasminelug::gateway {
namespace {

// Additional wait per rank before an instance proposes or takes over. The
// intent of the first instance is then usually read before the second one would
// write.
constexpr Duration kRankDelay = 60ms;
// Time by which the instance that acted last may propose earlier than the
// others.
constexpr Duration kLastCoordinatorLead = 400ms;
// Time after a change of the record during which reports of other instances may
// still refer to the previous primary.
constexpr Duration kPeerReportsSettleTime = 2s;
// Number of instances, those of the lowest ranks, that examine whether a
// planned replacement may begin in a group with synchronous replicas.
constexpr int kProbingInstances = 2;

}  // namespace

// Writes the first record of an epoch, if it is this instance's turn.
void ReplacementCoordinator::ConsiderSurvey(
    const std::vector<GroupCondition>& groups,
    const FleetCondition& fleet,
    Time now) {
  // After this wait, no instance uses a primary of the lost history any more,
  // and no promotion of it is still on the way.
  const Duration wait = m_options.m_contact_limit + kContactMargin;
  const bool due = now - m_epoch_seen >= wait + fleet.m_rank * kRankDelay;
  if (m_stopped || !due || now < m_next_try || groups.empty()) {
    return;
  }
  if (!m_survey.is_in_progress()) {
    m_survey.Begin(now);
    m_hooks.m_report("requesting the status of all members", {});
  }
  std::vector<MemberId> members;
  for (const GroupCondition& group : groups) {
    members.insert(members.end(), group.m_members.begin(),
                   group.m_members.end());
  }
  if (m_survey.IsOver(members, now)) {
    WriteSurvey(groups, now);
    return;
  }
  for (const MemberId& member : m_survey.TakeDueRequests(members, now)) {
    m_hooks.m_request_status(member);
  }
}

void ReplacementCoordinator::WriteSurvey(
    const std::vector<GroupCondition>& groups,
    Time now) {
  ReplacementRecord record;
  record.m_epoch = m_epoch;
  record.m_coordinator = m_options.m_self;
  record.m_lists_all_groups = true;
  for (const GroupCondition& group : groups) {
    if (const std::optional<MemberId> primary =
            m_survey.PrimaryOf(group.m_members)) {
      record.m_primaries.push_back({group.m_group, *primary});
    }
  }
  m_survey.End();
  Write(record, now);
}

// Proposes a replacement or takes one over, if it is this instance's turn.
void ReplacementCoordinator::ConsiderTurn(
    const std::vector<GroupCondition>& groups,
    const FleetCondition& fleet,
    Time now) {
  if (m_stopped) {
    return;
  }
  if (m_record.m_intent) {
    ConsiderTakeOver(fleet, now);
  } else {
    ConsiderProposals(groups, fleet, now);
  }
}

void ReplacementCoordinator::ConsiderProposals(
    const std::vector<GroupCondition>& groups,
    const FleetCondition& fleet,
    Time now) {
  const bool acted_last =
      !m_revision || m_record.m_coordinator == m_options.m_self;
  const Duration wait = acted_last
                            ? Duration::zero()
                            : kLastCoordinatorLead + fleet.m_rank * kRankDelay;
  if (now < m_next_try + (m_revision ? wait : fleet.m_rank * kRankDelay)) {
    return;
  }
  for (const GroupCondition& group : groups) {
    if (group.m_candidates.empty()) {
      continue;
    }
    GroupCondition settled = group;
    settled.m_not_observed &= now - m_intent_seen > kPeerReportsSettleTime;
    const bool failed = HasFailed(m_options, settled, now);
    if (failed ||
        (group.m_primary_leaving && MayBeginPlanned(group, fleet, now))) {
      Propose(group, !failed, now);
      return;
    }
  }
  // Starts the wait by rank anew: it counts from the moment at which there is
  // something to do.
  m_next_try = now;
}

// Returns whether a planned replacement of a leaving primary can be expected to
// end soon.
bool ReplacementCoordinator::MayBeginPlanned(const GroupCondition& group,
                                             const FleetCondition& fleet,
                                             Time now) {
  if (group.m_sync_replicas == 0) {
    return true;
  }
  const bool acted_last = m_record.m_coordinator == m_options.m_self;
  if (!acted_last && fleet.m_rank >= kProbingInstances) {
    return false;
  }
  CatchUpProbe& probe = m_catch_up_probes[group.m_group];
  for (const MemberId& member : probe.TakeDueRequests(group, now)) {
    m_hooks.m_request_status(member);
  }
  return probe.IsFollowed(group);
}

void ReplacementCoordinator::Propose(const GroupCondition& group,
                                     bool planned,
                                     Time now) {
  ReplacementRecord record = m_record;
  record.m_coordinator = m_options.m_self;
  ReplacementIntent intent;
  intent.m_group = group.m_group;
  intent.m_old_primary = group.m_primary.value_or(MemberId());
  intent.m_candidate = group.m_candidates.front();
  intent.m_planned = planned;
  record.m_intent = intent;
  m_hooks.m_report("proposing to replace a primary", intent);
  Write(record, now);
}

void ReplacementCoordinator::ConsiderTakeOver(const FleetCondition& fleet,
                                              Time now) {
  if (now < m_next_try ||
      now - m_intent_seen < TakeOverTime(fleet) + fleet.m_rank * kRankDelay) {
    return;
  }
  ReplacementRecord record = m_record;
  record.m_coordinator = m_options.m_self;
  m_hooks.m_report("taking over a replacement", *record.m_intent);
  Write(record, now);
}

// Returns the time after which the intent may be taken over.
Duration ReplacementCoordinator::TakeOverTime(
    const FleetCondition& fleet) const {
  Duration time =
      fleet.m_coordinator_live ? kTakeOverAfter : kTakeOverUnresponsiveAfter;
  for (int i = 0; i < m_take_overs && time < kMaxTakeOverAfter; ++i) {
    time *= 2;
  }
  return std::min(time, kMaxTakeOverAfter);
}

// Counts a change of the coordinator if `record`, which was just read, has the
// same intent as the previous one.
void ReplacementCoordinator::CountTakeOvers(const ReplacementRecord& record) {
  const bool same_intent =
      m_record.m_intent && record.m_intent &&
      m_record.m_intent->m_group == record.m_intent->m_group;
  if (!same_intent) {
    m_take_overs = 0;
  } else if (record.m_coordinator != m_record.m_coordinator) {
    m_take_overs += 1;
  }
}

}  // namespace jasminelug::gateway
