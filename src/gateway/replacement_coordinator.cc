#include "src/gateway/replacement_coordinator.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {
namespace {

// Delay before an action is retried after a write or a promotion without a
// result, and after the platform refused every candidate.
constexpr Duration kRetryDelay = 150ms;
// Number of other instances that must report the primary as unreachable if this
// instance cannot judge it itself.
constexpr int kMinPeerReports = 2;
// Time within which a promoted member must report that it leads. After it, the
// promotion is considered lost.
constexpr Duration kConfirmLimit = 3s;
// Minimum time between two requests for the list of instances.
constexpr Duration kInstanceListInterval = 200ms;
// Minimum time between two status requests to the same members.
constexpr Duration kStatusRequestInterval = 40ms;

}  // namespace

ReplacementCoordinator::ReplacementCoordinator(ReplacementOptions options,
                                               Hooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)) {}

std::optional<MemberId> ReplacementCoordinator::PrimaryOf(
    const GroupName& group) const {
  for (const ReplacedPrimary& replaced : m_record.m_primaries) {
    if (replaced.m_group == group) {
      return replaced.m_primary;
    }
  }
  return std::nullopt;
}

std::optional<ReplacementIntent> ReplacementCoordinator::IntentFor(
    const GroupName& group) const {
  if (m_record.m_intent && m_record.m_intent->m_group == group) {
    return m_record.m_intent;
  }
  return std::nullopt;
}

bool ReplacementCoordinator::IsOwnIntent() const {
  return m_record.m_intent && m_record.m_coordinator == m_options.m_self;
}

const char* ReplacementCoordinator::awaited() const {
  if (!m_record.m_intent) {
    return "nothing";
  }
  if (!IsOwnIntent()) {
    return "its coordinator";
  }
  switch (m_stage) {
    case Stage::kIdle:
      return "instances that use the old primary";
    case Stage::kCollectingStatuses:
      return "statuses of members";
    case Stage::kPromoting:
      return "the promotion";
    case Stage::kConfirming:
      return "the new primary";
  }
  return "nothing";
}

void ReplacementCoordinator::Reset() {
  m_stage = Stage::kIdle;
  m_survey.End();
  m_catch_up_probes.clear();
  m_promoted.reset();
  m_statuses.clear();
  m_refused_candidates.clear();
  m_retry_promotion = false;
}

bool ReplacementCoordinator::is_record_valid() const {
  return m_record.m_epoch == m_epoch && (m_revision || m_epoch == StoreEpoch());
}

// Forgets what was read and begun in earlier epochs.
void ReplacementCoordinator::BeginEpoch(StoreEpoch epoch, Time now) {
  if (m_stage == Stage::kPromoting) {
    m_hooks.m_abandon_promotion();
  }
  if (m_writing) {
    m_hooks.m_abandon_write();
    m_writing = false;
  }
  Reset();
  m_record = ReplacementRecord();
  m_revision.reset();
  m_epoch = epoch;
  m_epoch_seen = now;
  m_other_coordinator_acted = now;
}

void ReplacementCoordinator::OnEntries(const StoreObjects& objects,
                                       Revision complete,
                                       Time now) {
  const bool is_first_copy = !m_listed;
  m_listed = true;
  if (complete.epoch() < m_epoch) {
    return;
  }
  if (complete.epoch() > m_epoch) {
    BeginEpoch(complete.epoch(), now);
  }
  const auto found = objects.find(kRecordName);
  if (found == objects.end()) {
    return;
  }
  const auto* record = std::get_if<ReplacementRecord>(&found->second.m_value);
  const bool known = m_revision && found->second.m_revision <= *m_revision;
  if (!record || known) {
    return;
  }
  if (m_stage == Stage::kPromoting) {
    m_hooks.m_abandon_promotion();
  }
  Reset();
  // If the new record or the intent that it replaces belongs to another
  // instance, that instance may have promoted until now: it acted before it
  // wrote its record, or, if its intent was taken over, it may act until it
  // reads the new record, which happens at about this time.
  // An instance that has just started does not know whose intent it was.
  const bool was_others = is_first_copy
                              ? record->m_intent.has_value()
                              : m_revision && m_record.m_intent &&
                                    m_record.m_coordinator != m_options.m_self;
  if (was_others || record->m_coordinator != m_options.m_self) {
    m_other_coordinator_acted = now;
  }
  m_earlier_coordinator_acts = was_others;
  m_next_try = std::max(m_next_try, now);
  m_revision = found->second.m_revision;
  CountTakeOvers(*record);
  m_record = record->m_epoch == m_epoch ? *record : ReplacementRecord();
  m_intent_seen = now;
}

void ReplacementCoordinator::OnWritten(
    const Result<StoreObject, StoreError>& result,
    Time now) {
  m_writing = false;
  if (!IsOk(result)) {
    m_next_try = now + kRetryDelay;
    return;
  }
  m_next_try = now;
  // The answer contains the record as it was stored.
  StoreObjects objects;
  StoreObject object = GetValue(result);
  object.m_name = kRecordName;
  objects.emplace(kRecordName, object);
  OnEntries(objects, object.m_revision, now);
}

void ReplacementCoordinator::Write(const ReplacementRecord& record, Time now) {
  m_writing = true;
  m_call_sent = now;
  m_hooks.m_write(record, m_revision);
}

// Notes that the earlier coordinator of this instance's intent may act: until
// it acknowledges the new intent or its last contact, which was before that
// intent, is too old.
void ReplacementCoordinator::NoteEarlierCoordinator(const FleetCondition& fleet,
                                                    Time now) {
  if (!m_earlier_coordinator_acts) {
    return;
  }
  // This function may not have been called since then.
  const Time end = m_intent_seen + kActingContactLimit;
  m_other_coordinator_acted =
      std::max(m_other_coordinator_acted.value_or(now), std::min(now, end));
  const bool acknowledged =
      fleet.m_instances_as_of >= m_intent_seen && fleet.m_all_acknowledged;
  m_earlier_coordinator_acts = !acknowledged && now <= end;
}

bool ReplacementCoordinator::HasChangePausePassed(Time now) const {
  return !m_other_coordinator_acted ||
         now - *m_other_coordinator_acted > kCoordinatorChangePause;
}

bool ReplacementCoordinator::HasFailed(const ReplacementOptions& options,
                                       const GroupCondition& group,
                                       Time now) {
  if (group.m_primary_gone) {
    return true;
  }
  const bool failing = group.m_failing_since &&
                       now - *group.m_failing_since > options.m_failure_limit;
  if (failing) {
    return group.m_others_unreachable + 1 > group.m_others_reachable;
  }
  // An instance that cannot judge the primary itself relies on the reports of
  // the others.
  return group.m_not_observed &&
         group.m_others_unreachable >= kMinPeerReports &&
         group.m_others_unreachable > group.m_others_reachable + 1;
}

void ReplacementCoordinator::OnTick(const std::vector<GroupCondition>& groups,
                                    const FleetCondition& fleet,
                                    Time now) {
  if (m_writing && now - m_call_sent > kCallTimeout) {
    m_hooks.m_abandon_write();
    m_writing = false;
    m_next_try = now + kRetryDelay;
  }
  // Not only while the contact is recent: another coordinator relies on the end
  // of this call.
  if (m_stage == Stage::kPromoting &&
      (now - m_call_sent > kCallTimeout || fleet.m_has_unread_record)) {
    m_hooks.m_abandon_promotion();
    OnPromoted(PromotionResult::kUnknown, now);
  }
  if (!m_listed || m_writing || !fleet.m_contact_recent ||
      fleet.m_has_unread_record) {
    return;
  }
  if (!is_record_valid()) {
    ConsiderSurvey(groups, fleet, now);
    return;
  }
  if (!IsOwnIntent()) {
    ConsiderTurn(groups, fleet, now);
    return;
  }
  NoteEarlierCoordinator(fleet, now);
  for (const GroupCondition& group : groups) {
    if (group.m_group == m_record.m_intent->m_group) {
      Advance(group, fleet, now);
    }
  }
}

void ReplacementCoordinator::Advance(const GroupCondition& group,
                                     const FleetCondition& fleet,
                                     Time now) {
  switch (m_stage) {
    case Stage::kIdle: {
      if (!HaveOthersStoppedUse(fleet, now) ||
          !group.m_no_statements_in_flight || now < m_next_try ||
          !HasChangePausePassed(now)) {
        return;
      }
      if (m_retry_promotion) {
        Promote(m_candidate, group, now);
      } else {
        RequestStatuses(group, now);
      }
      return;
    }
    case Stage::kCollectingStatuses:
      ApplyChoice(Choose(group, now), group, now);
      return;
    case Stage::kPromoting:
      return;
    case Stage::kConfirming:
      Confirm(group, now);
      return;
  }
}

bool ReplacementCoordinator::IsDeclared(const GroupCondition& group) const {
  return std::find(group.m_self_declared.begin(), group.m_self_declared.end(),
                   m_candidate) != group.m_self_declared.end();
}

// Returns whether the promoted member is the primary because of the promotion,
// or was it already before.
bool ReplacementCoordinator::LeadsNewTerm(const GroupCondition& group,
                                          Time now) const {
  const auto status = m_statuses.find(*m_promoted);
  const bool reported = status != m_statuses.end() &&
                        status->second.m_role == MemberRole::kPrimary;
  const bool reports_new_term =
      reported && m_term_known && status->second.m_term > m_term_before;
  const bool declares_anew = IsDeclared(group) && !m_declared_before;
  if (reports_new_term || declares_anew) {
    return true;
  }
  return (reported || IsDeclared(group)) &&
         now - m_promotion_accepted > kPromotionEffectLimit;
}

void ReplacementCoordinator::Confirm(const GroupCondition& group, Time now) {
  if (LeadsNewTerm(group, now)) {
    if (now >= m_next_try) {
      RecordNewPrimary(now);
    }
    return;
  }
  if (now - m_call_sent > kConfirmLimit) {
    // The promotion was lost; the replacement starts again.
    m_promoted.reset();
    m_stage = Stage::kIdle;
    m_next_try = now;
    return;
  }
  if (now - m_statuses_requested > kStatusRequestInterval) {
    m_statuses_requested = now;
    m_hooks.m_request_status(*m_promoted);
  }
}

bool ReplacementCoordinator::HaveOthersStoppedUse(const FleetCondition& fleet,
                                                  Time now) {
  // An instance may read the intent as late as m_contact_limit after it was
  // written, and then end its transactions.
  const Duration end_limit =
      m_record.m_intent->m_planned ? kPlannedEndLimit : Duration::zero();
  if (now - m_intent_seen >
      m_options.m_contact_limit + end_limit + kContactMargin) {
    return true;
  }
  if (fleet.m_instances_as_of >= m_intent_seen) {
    return fleet.m_all_acknowledged;
  }
  if (now - m_instances_requested >= kInstanceListInterval) {
    m_instances_requested = now;
    m_hooks.m_read_instances();
  }
  return false;
}

void ReplacementCoordinator::RequestStatuses(const GroupCondition& group,
                                             Time now) {
  if (m_stage != Stage::kCollectingStatuses) {
    m_stage = Stage::kCollectingStatuses;
    m_status_collection_began = now;
    m_statuses.clear();
  }
  m_statuses_requested = now;
  for (const MemberId& candidate : group.m_candidates) {
    m_hooks.m_request_status(candidate);
  }
  if (group.m_sync_replicas > 0) {
    for (const MemberId& replica : group.m_leaving_replicas) {
      m_hooks.m_request_status(replica);
    }
  }
  if (m_record.m_intent->m_planned) {
    m_hooks.m_request_status(m_record.m_intent->m_old_primary);
  }
}

void ReplacementCoordinator::OnStatus(const MemberId& member,
                                      const MemberStatus& status,
                                      Time requested) {
  m_survey.OnStatus(member, status, requested);
  for (auto& [group, probe] : m_catch_up_probes) {
    probe.OnStatus(member, status);
  }
  // An earlier request may have been answered before the old primary was unused
  // by all, or before the candidate was promoted.
  const bool collected = m_stage == Stage::kCollectingStatuses &&
                         requested >= m_status_collection_began;
  const bool confirms =
      m_stage == Stage::kConfirming && requested >= m_promotion_accepted;
  if (collected || confirms) {
    m_statuses.insert_or_assign(member, status);
  }
}

CandidateChoice ReplacementCoordinator::Choose(const GroupCondition& group,
                                               Time now) const {
  CandidateInputs inputs;
  inputs.m_group = group;
  inputs.m_statuses = m_statuses;
  inputs.m_refused = m_refused_candidates;
  inputs.m_planned = m_record.m_intent->m_planned;
  inputs.m_waited = now - m_status_collection_began;
  if (inputs.m_planned && !HasFailed(m_options, group, now)) {
    inputs.m_old_primary = m_record.m_intent->m_old_primary;
  }
  return ChooseCandidate(inputs);
}

void ReplacementCoordinator::ApplyChoice(const CandidateChoice& choice,
                                         const GroupCondition& group,
                                         Time now) {
  if (const auto* candidate = std::get_if<MemberId>(&choice)) {
    Promote(*candidate, group, now);
    return;
  }
  if (std::holds_alternative<AllRefused>(choice)) {
    m_refused_candidates.clear();
    m_stage = Stage::kIdle;
    m_next_try = now + kRetryDelay;
    return;
  }
  if (now - m_statuses_requested > kStatusRequestInterval) {
    RequestStatuses(group, now);
  }
}

void ReplacementCoordinator::Promote(const MemberId& candidate,
                                     const GroupCondition& group,
                                     Time now) {
  m_stage = Stage::kPromoting;
  m_candidate = candidate;
  if (!m_retry_promotion) {
    m_declared_before = IsDeclared(group);
    m_term_before = group.m_newest_term;
    for (const auto& [member, status] : m_statuses) {
      m_term_before = std::max(m_term_before, status.m_term);
    }
    m_term_known = m_statuses.contains(candidate);
  }
  m_retry_promotion = false;
  m_call_sent = now;
  ReplacementIntent intent = *m_record.m_intent;
  intent.m_candidate = candidate;
  m_hooks.m_report("promoting", intent);
  m_hooks.m_promote({m_options.m_self, *m_revision, intent.m_group, candidate});
}

void ReplacementCoordinator::OnPromoted(PromotionResult result, Time now) {
  if (m_stage != Stage::kPromoting) {
    return;
  }
  m_next_try = now;
  switch (result) {
    case PromotionResult::kDone:
      m_promoted = m_candidate;
      m_promotion_accepted = now;
      m_stage = Stage::kConfirming;
      m_statuses.clear();
      return;
    case PromotionResult::kRefused:
      m_refused_candidates.push_back(m_candidate);
      m_stage = Stage::kIdle;
      return;
    case PromotionResult::kUnavailable:
    case PromotionResult::kUnknown:
      // Repeating the same promotion has no effect if it was already carried
      // out.
      m_retry_promotion = true;
      m_next_try = now + kRetryDelay;
      m_stage = Stage::kIdle;
      return;
  }
}

void ReplacementCoordinator::RecordNewPrimary(Time now) {
  ReplacementRecord record = m_record;
  const GroupName group = record.m_intent->m_group;
  std::erase_if(record.m_primaries, [&group](const ReplacedPrimary& replaced) {
    return replaced.m_group == group;
  });
  record.m_primaries.push_back({group, *m_promoted});
  record.m_intent.reset();
  Write(record, now);
}

}  // namespace jasminelug::gateway
