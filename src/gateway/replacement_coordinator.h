#ifndef SRC_GATEWAY_REPLACEMENT_COORDINATOR_H_
#define SRC_GATEWAY_REPLACEMENT_COORDINATOR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminelug/common.h"
#include "src/gateway/candidate_choice.h"
#include "src/gateway/catch_up_probe.h"
#include "src/gateway/group_condition.h"
#include "src/gateway/ids.h"
#include "src/gateway/member.h"
#include "src/gateway/member_status.h"
#include "src/gateway/primary_survey.h"
#include "src/gateway/promotion.h"
#include "src/gateway/store_follower.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// State of the fleet at one moment, as seen by this instance.
struct FleetCondition {
  friend bool operator==(const FleetCondition&,
                         const FleetCondition&) = default;

  // Whether every other registered instance has acknowledged the revision of
  // the record.
  bool m_all_acknowledged = false;
  // Time at which the current list of registered instances was requested. The
  // list contains every instance that registered before.
  Time m_instances_as_of;
  // Rank of this instance among the live instances. Lower ranks act earlier, so
  // that usually only one instance acts.
  int m_rank = 0;
  // Whether this instance's last contact with the store is recent enough for it
  // to act as coordinator.
  bool m_contact_recent = false;
  // Whether the coordinator of the intent is live.
  bool m_coordinator_live = false;
  // Whether other instances have read a newer record than this one, which may
  // then be acknowledged before it is read. See PeerReadRevisions.
  bool m_has_unread_record = false;
};

// Identity and time limits of a coordinator.
struct ReplacementOptions {
  friend bool operator==(const ReplacementOptions&,
                         const ReplacementOptions&) = default;

  InstanceId m_self;
  // An instance stops using the old primary by itself, without having
  // acknowledged the intent, when its last contact with the store is this old.
  Duration m_contact_limit = 4200ms;
  // A primary that was not reached for this long is considered failed.
  Duration m_failure_limit = 500ms;
};

// Replaces primaries, using the platform's promotion call and a record in the
// store that all instances follow.
//
// 1. An instance that observes that a primary fails or leaves writes an intent
//    into the record, on condition that the record's revision is unchanged, so
//    that just one instance wins.
// 2. Every instance that reads the intent stops using the old primary and
//    acknowledges the revision. If the replacement is planned, transactions
//    that are open there may end within kPlannedEndLimit. An instance that
//    cannot read the intent stops when its last contact with the store is
//    m_contact_limit old.
// 3. The winner waits until all instances have acknowledged or those limits
//    have passed. An instance that registered before the intent counts too, so
//    the winner reads the list of instances after writing the intent. It then
//    requests the log positions of the replicas and promotes the one that
//    ChooseCandidate() returns. The fencing token is the revision of the
//    intent, so it increases with every intent.
// 4. Once the new primary reports that it leads a newer term, the winner writes
//    it into the record and removes the intent. Before that, the member is
//    still a replica, or the primary of an earlier term that does not know yet
//    that it was replaced, and reads that are routed to it as the primary would
//    be stale.
//
// Promotions by different instances do not follow each other quickly: an
// instance waits for kCoordinatorChangePause after another instance may have
// promoted, and the instance that acted last may propose before the others.
//
// If the coordinator of an intent is unresponsive or takes too long, another
// instance takes the intent over by writing it again under its own name. It has
// to wait before it promotes, so the time after which it is taken for failed
// itself grows with each such change. Coordinators that wrongly hold each other
// for unresponsive therefore cannot take the intent from each other forever.
// Two promotions never overlap:
//
// - If the earlier coordinator acknowledges the new intent, it abandons its
//   promotion call first, also where it only knows that others have read it.
// - Otherwise the new coordinator waits for m_contact_limit, and
//   kCoordinatorChangePause counts from the time at which the earlier one can
//   no longer act. The earlier
//   coordinator's last contact with the store was before the new intent. It
//   sends a promotion call only while its last contact is recent
//   (m_contact_recent) and drops the call after kCallTimeout, so the call ends
//   before the new coordinator's wait does.
//
// A store that is restored from a backup may have lost the newest record, and
// the record that it holds then names a primary that was replaced. A record
// counts only in the epoch of the store in which it was written. Until there is
// one, no primary is used. The first instance waits until all that was done on
// the strength of the lost history has ended, requests the status of all
// members, and writes a record of the primaries of the newest terms. A group
// whose members did not all answer has no primary in it and is given one by a
// replacement.
class ReplacementCoordinator {
 public:
  struct Hooks {
    std::function<void(const ReplacementRecord& record,
                       std::optional<Revision> expected)>
        m_write;
    std::function<void(const PromotionOrder& order)> m_promote;
    // Cancel the write or the promotion that is in progress.
    std::function<void()> m_abandon_write;
    std::function<void()> m_abandon_promotion;
    // Reads the list of registered instances again.
    std::function<void()> m_read_instances;
    // Requests the status of a member; OnStatus() may follow.
    std::function<void(const MemberId& member)> m_request_status;
    // Logs a step of the replacement.
    std::function<void(const std::string& event,
                       const ReplacementIntent& intent)>
        m_report;
  };

  static constexpr char kRecordName[] = "replacements";
  static constexpr Duration kCallTimeout = 900ms;
  // Another instance takes an intent over after kTakeOverAfter, or already
  // after kTakeOverUnresponsiveAfter if the coordinator is unresponsive. Each
  // time the intent was taken over doubles these times, up to
  // kMaxTakeOverAfter, in which a coordinator that has taken over completes the
  // replacement even if it has to wait for the contact limit.
  static constexpr Duration kTakeOverAfter = 6s;
  static constexpr Duration kTakeOverUnresponsiveAfter = 1200ms;
  static constexpr Duration kMaxTakeOverAfter = 10s;
  // Time within which a replacement ends, once a live instance reaches the
  // store, the other instances and the group's members. See docs/DESIGN.md.
  static constexpr Duration kReplacementBound = 20s;
  // A coordinator acts only on the strength of a contact with the store that is
  // younger than this. See FleetCondition::m_contact_recent.
  static constexpr Duration kActingContactLimit = 2s;
  // Minimum time between the last action of one coordinator and the first of
  // another one. The platform's documentation requires 3 s.
  static constexpr Duration kCoordinatorChangePause = 3200ms;
  // Time from reading the intent of a planned replacement, after which an
  // instance abandons the transactions that are still open at the old primary.
  static constexpr Duration kPlannedEndLimit = 1s;
  // Time within which a promotion that the platform has accepted takes effect.
  // A member that is the primary of the same term before and after was the
  // primary already.
  static constexpr Duration kPromotionEffectLimit = 2s;

  ReplacementCoordinator(ReplacementOptions options, Hooks hooks);

  // Handles the record in a copy of the store's objects, which contains all
  // changes up to the revision `complete`.
  void OnEntries(const StoreObjects& objects, Revision complete, Time now);
  void OnWritten(const Result<StoreObject, StoreError>& result, Time now);
  void OnPromoted(PromotionResult result, Time now);
  // Handles the status that a member reported to a request sent at `requested`.
  void OnStatus(const MemberId& member,
                const MemberStatus& status,
                Time requested);

  // Evaluates all groups and advances the current replacement. Must be called
  // frequently.
  void OnTick(const std::vector<GroupCondition>& groups,
              const FleetCondition& fleet,
              Time now);

  // Stops this coordinator from starting anything new. It goes on with its own
  // intent, if there is one.
  void Stop() { m_stopped = true; }

  const ReplacementRecord& record() const { return m_record; }
  // Returns the time at which this instance read the current revision of the
  // record.
  Time intent_seen() const { return m_intent_seen; }
  Revision revision() const { return m_revision.value_or(Revision()); }
  // Returns what the replacement in the record waits for, for the log, as far
  // as this instance knows.
  const char* awaited() const;
  // Returns the newest epoch of the store that this instance has seen.
  StoreEpoch epoch() const { return m_epoch; }
  // Returns whether the record was written in that epoch. If not, no primary
  // may be used. A store that does not tell its epoch is taken as never
  // restored.
  bool is_record_valid() const;

  // Returns whether this instance coordinates the replacement in the record.
  bool IsOwnIntent() const;

  // Returns the primary of the group in the record, or nullopt if the record
  // has none.
  std::optional<MemberId> PrimaryOf(const GroupName& group) const;

  // Returns the intent for the group, or nullopt if there is none.
  std::optional<ReplacementIntent> IntentFor(const GroupName& group) const;

 private:
  // Added to the contact limit for timers that fire late.
  static constexpr Duration kContactMargin = 200ms;

  enum class Stage { kIdle, kCollectingStatuses, kPromoting, kConfirming };

  void BeginEpoch(StoreEpoch epoch, Time now);
  void ConsiderSurvey(const std::vector<GroupCondition>& groups,
                      const FleetCondition& fleet,
                      Time now);
  void WriteSurvey(const std::vector<GroupCondition>& groups, Time now);
  static bool HasFailed(const ReplacementOptions& options,
                        const GroupCondition& group,
                        Time now);
  void ConsiderProposals(const std::vector<GroupCondition>& groups,
                         const FleetCondition& fleet,
                         Time now);
  void ConsiderTurn(const std::vector<GroupCondition>& groups,
                    const FleetCondition& fleet,
                    Time now);
  bool MayBeginPlanned(const GroupCondition& group,
                       const FleetCondition& fleet,
                       Time now);
  void ConsiderTakeOver(const FleetCondition& fleet, Time now);
  Duration TakeOverTime(const FleetCondition& fleet) const;
  void CountTakeOvers(const ReplacementRecord& record);
  void Propose(const GroupCondition& group, bool planned, Time now);
  void Write(const ReplacementRecord& record, Time now);
  void Advance(const GroupCondition& group,
               const FleetCondition& fleet,
               Time now);
  void RequestStatuses(const GroupCondition& group, Time now);
  CandidateChoice Choose(const GroupCondition& group, Time now) const;
  void ApplyChoice(const CandidateChoice& choice,
                   const GroupCondition& group,
                   Time now);
  void Promote(const MemberId& candidate,
               const GroupCondition& group,
               Time now);
  bool IsDeclared(const GroupCondition& group) const;
  bool LeadsNewTerm(const GroupCondition& group, Time now) const;
  void Confirm(const GroupCondition& group, Time now);
  void RecordNewPrimary(Time now);
  void NoteEarlierCoordinator(const FleetCondition& fleet, Time now);
  bool HasChangePausePassed(Time now) const;
  bool HaveOthersStoppedUse(const FleetCondition& fleet, Time now);
  void Reset();

  const ReplacementOptions m_options;
  const Hooks m_hooks;
  ReplacementRecord m_record;
  std::optional<Revision> m_revision;
  StoreEpoch m_epoch;
  // Time at which this instance first saw that epoch.
  Time m_epoch_seen;
  bool m_listed = false;
  bool m_stopped = false;
  Stage m_stage = Stage::kIdle;
  PrimarySurvey m_survey;
  std::map<GroupName, CatchUpProbe> m_catch_up_probes;
  // Last time at which another instance may have promoted a member.
  std::optional<Time> m_other_coordinator_acted;
  // Whether the coordinator from which this instance has taken the intent over
  // may not know that yet.
  bool m_earlier_coordinator_acts = false;
  // Time at which this instance first read the current intent.
  Time m_intent_seen;
  // Number of times this instance has seen the intent change its coordinator.
  int m_take_overs = 0;
  Time m_call_sent;
  Time m_next_try;
  // Last time the list of registered instances was requested.
  Time m_instances_requested;
  bool m_writing = false;
  // The member that the platform promoted, until the record names it.
  std::optional<MemberId> m_promoted;
  Time m_promotion_accepted;
  // The member that is being promoted, and whether to send the same order
  // again.
  MemberId m_candidate;
  bool m_retry_promotion = false;
  // Newest term that was known before the promotion, and whether the candidate
  // declared itself to be the primary before it.
  Term m_term_before;
  // Whether m_term_before includes the term of the candidate.
  bool m_term_known = false;
  bool m_declared_before = false;
  Time m_status_collection_began;
  Time m_statuses_requested;
  std::map<MemberId, MemberStatus> m_statuses;
  // Candidates whose promotion the platform refused.
  std::vector<MemberId> m_refused_candidates;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_REPLACEMENT_COORDINATOR_H_
