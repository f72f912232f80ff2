#ifndef SRC_CORE_GROUP_H_
#define SRC_CORE_GROUP_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/core/configuration.h"
#include "src/core/confirmation_queue.h"
#include "src/core/context.h"
#include "src/core/database_answer.h"
#include "src/core/election.h"
#include "src/core/group_view.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Functions and settings that the engine provides to its groups.
struct GroupHooks {
  // Sends a control request to a member. The answer is passed to
  // Group::OnControlAnswered().
  std::function<
      CallId(const Database&, const Member&, ControlRequest, Context&)>
      m_call;
  // Returns the live peers.
  std::function<std::vector<InstanceId>()> m_live_peers;
  // Returns whether the zone is out, which means that it gets no new work.
  std::function<bool(const ZoneName&)> m_is_zone_out;
  // Returns whether a connection to the member is open.
  std::function<bool(const DatabaseName&, const MemberId&)> m_has_connection;
  std::function<void(const DatabaseName&, Context&)> m_on_primary_changed;
  std::function<void(const DatabaseName&, const SettledConfirmation&, Context&)>
      m_on_settled;
  // Publishes the new primary of a term to the platform.
  std::function<void(const DatabaseName&, Term, const MemberId&, Context&)>
      m_publish;
  // False if this instance must not start promotions and only learns of those
  // that others make. Used for baseline measurements.
  bool m_may_promote = true;
};

// Monitors one database group. Finds its primary, detects the primary's
// failure, has another member promoted, and confirms writes and reads with a
// majority of members.
class Group {
 public:
  Group(InstanceId self, Database database, const GroupHooks* hooks);

  void SetDatabase(Database database, Context& context);

  const GroupView& view() const { return m_view; }

  // Returns whether a primary is known and, as far as this instance knows, has
  // not stepped down, so that it can be sent statements.
  bool IsPrimaryUsable() const;

  // ConfirmWrite() starts the confirmation of a write at `position`,
  // ConfirmRead() that of a read in `term` that reached this instance at
  // `asked`. GroupHooks::m_on_settled receives the result when the next event
  // is handled or later.
  ConfirmationId ConfirmWrite(const LogPosition& position, Context& context);
  ConfirmationId ConfirmRead(Term term, Time asked, Context& context);
  void CancelConfirmation(ConfirmationId id) { m_confirmations.Remove(id); }

  // Handles what a member's answer to a statement says about the member: its
  // log position and its role.
  void OnAnswer(const MemberId& member,
                const LogPosition& position,
                MemberRole role,
                Context& context);

  // Handles a member's report that it is not the primary. Ignored unless the
  // member is the known primary.
  void OnNotPrimary(const MemberId& member, Context& context);

  // Handles a failed call to a member. `refused` is true if the member's
  // address refused the connection; if the member is the primary, an attempt to
  // replace it may then start at once.
  void OnMemberFailure(const MemberId& member, bool refused, Context& context);

  // Handles the answer to a control request. Returns false if this group did
  // not make the call.
  bool OnControlAnswered(CallId call,
                         const ControlAnswer& answer,
                         Context& context);

  // Handles a peer's report about the group: learns a newer primary from it, or
  // counts it as an answer to the current consultation.
  void OnGroupReport(const InstanceId& from,
                     const GroupReport& report,
                     Context& context);
  // Answers a peer that suspects the primary with this instance's own report.
  void OnSuspicion(const InstanceId& from,
                   const PrimarySuspicion& suspicion,
                   Context& context);

  // Learns the primary from the group's object on the platform.
  void OnPublished(Term term, const MemberId& member, Context& context);

  // Requests a planned change of primary to `successor`.
  void RequestSwitchover(const MemberId& successor, Context& context);

  // Handles the end of a pause of this process. Members may have answered
  // during the pause, so their silence until now is no sign of a failure.
  void OnPaused(Context& context);

  void OnTick(Context& context);

 private:
  // Phases of an attempt to have a new primary promoted.
  enum class Phase {
    kIdle,
    // Waits for the reports of peers that were asked about the primary.
    kConsulting,
    // Waits until it is this instance's turn to act; see OwnRank().
    kWaiting,
    // Collects the members' grants of a term.
    kGranting,
    // Waits for the chosen member's answer to its promotion.
    kPromoting
  };

  struct Call {
    MemberId m_member;
    Time m_asked;
    ControlRequest m_request;
  };

  void CallMember(const Member& member,
                  ControlRequest request,
                  Context& context);
  bool HasStatusCall(const MemberId& member) const;
  void RequestStatus(const MemberView& view, Context& context);

  void OnStatusAnswer(const Call& call,
                      const MemberStatus& status,
                      Context& context);
  void OnGrantAnswer(const Call& call,
                     const GrantAnswer& answer,
                     Context& context);
  void OnPromotionAnswer(const Call& call, bool done, Context& context);
  void OnCallFailed(const Call& call,
                    const ControlFailed& failure,
                    Context& context);

  void OnPrimaryLearned(Context& context);
  void SettleConfirmations(Context& context);
  void PollForConfirmations(Context& context);
  void PollMembers(Context& context);
  void SendFollowRequests(Context& context);

  bool IsPrimarySuspect(Context& context) const;
  bool HasMajorityWithoutPrimary(Context& context) const;
  bool AreWritesStalled(Context& context) const;
  bool MustSwitchOver() const;
  void StartConsultation(Context& context);
  void AdvanceElection(Context& context);
  void EndConsultation(Context& context);
  void StartElection(Context& context);
  void CountGrants(Context& context);
  void AbandonElection(Context& context);
  std::set<MemberId> AvoidedMembers() const;
  std::optional<MemberId> Successor() const;
  size_t OwnRank() const;
  GroupReport Report(Context& context) const;

  InstanceId m_self;
  GroupView m_view;
  const GroupHooks* m_hooks;
  ConfirmationQueue m_confirmations;
  std::map<CallId, Call> m_calls;
  std::map<MemberId, Time> m_next_poll;
  std::map<MemberId, Time> m_next_follow;

  Phase m_phase = Phase::kIdle;
  // Time at which the current phase ends or times out.
  Time m_phase_until;
  std::optional<Election> m_election;
  std::optional<Member> m_promoted;
  // State of a consultation: the number of peers asked and of those that have
  // answered, and whether one of them had a recent answer from the primary.
  size_t m_consulted_peers = 0;
  size_t m_peer_answers = 0;
  bool m_is_contradicted = false;

  // Time since which no usable primary has been known. Time::max() while a
  // usable primary is known; Time::min() until the first tick sets it.
  Time m_without_primary_since;
  // True if the primary of the known term has reported that it is not the
  // primary or that it has granted a higher term.
  bool m_has_primary_stepped_down = false;
  std::optional<MemberId> m_requested_successor;
  // True if the current attempt is a planned change, made while the primary is
  // usable, and not a reaction to a suspicion.
  bool m_is_planned = false;
  // No consultation or planned change starts before this time.
  Time m_retry_after;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_GROUP_H_
