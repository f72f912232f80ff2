#include "src/core/group.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

// Time between two status requests to a member in use. The primary is asked
// only after this time without any answer from it.
constexpr Duration kProbeInterval = 200ms;

// Time without an answer after which the primary is suspected to have failed,
// if a call to it has failed as well.
constexpr Duration kPrimarySuspicionTimeout = 500ms;

// A peer contradicts a suspicion if the primary answered it within this time.
constexpr Duration kRecentContactLimit = 300ms;

// Time for which peers' answers to a suspicion are awaited.
constexpr Duration kConsultationTimeout = 60ms;

// Instances start elections in an order that all of them compute alike. Delay
// between two successive ranks, and upper limit of the random time added to it.
constexpr Duration kRankDelay = 150ms;
constexpr Duration kRankJitter = 40ms;

// Minimum duration of the collection of grants, unless all members have
// answered: gives the members beyond the first majority time to grant.
constexpr Duration kRemainingGrantsWait = 30ms;

// Time limit for the collection of grants, and again for the promotion. An
// election that exceeds it is abandoned.
constexpr Duration kElectionTimeout = 600ms;

// Minimum time between learning of a new primary and starting another change.
constexpr Duration kPrimaryChangeCooldown = 300ms;

// Delay after a contradicted suspicion. After an abandoned election, the delay
// is between half of this and one and a half times this.
constexpr Duration kElectionRetryDelay = 200ms;

// Time without a usable primary after which a member is promoted, if a majority
// of members has reported within this time.
constexpr Duration kNoPrimaryTimeout = 500ms;

// A write that has waited longer than this for its confirmation may mean that
// the replicas no longer receive the primary's log.
constexpr Duration kWriteStallTimeout = 500ms;

// Minimum time between two status requests to a member for confirmations.
constexpr Duration kConfirmPollInterval = 1ms;

// Time between two status requests to a member while no usable primary is
// known.
constexpr Duration kDiscoveryInterval = 100ms;

// Time between two requests to a member to follow the primary.
constexpr Duration kFollowInterval = 300ms;

// Time between two status requests to a member that this instance does not use.
constexpr Duration kIdlePollInterval = 2s;

}  // namespace

Group::Group(InstanceId self, Database database, const GroupHooks* hooks)
    : m_self(std::move(self)),
      m_view(std::move(database)),
      m_hooks(hooks),
      m_without_primary_since(Time::min()) {}

void Group::SetDatabase(Database database, Context& context) {
  m_view.SetDatabase(std::move(database));
  if (m_view.Primary() == nullptr) {
    m_without_primary_since = context.Now();
  }
}

bool Group::IsPrimaryUsable() const {
  return m_view.Primary() != nullptr && !m_has_primary_stepped_down;
}

ConfirmationId Group::ConfirmWrite(const LogPosition& position,
                                   Context& context) {
  const ConfirmationId id = m_confirmations.AddWrite(position, context.Now());
  PollForConfirmations(context);
  return id;
}

ConfirmationId Group::ConfirmRead(Term term, Time asked, Context& context) {
  const ConfirmationId id = m_confirmations.AddRead(term, asked);
  PollForConfirmations(context);
  return id;
}

void Group::OnAnswer(const MemberId& member,
                     const LogPosition& position,
                     MemberRole role,
                     Context& context) {
  if (m_view.OnAnswer(member, position, role, context.Now())) {
    OnPrimaryLearned(context);
  }
}

void Group::OnNotPrimary(const MemberId& member, Context& context) {
  const Member* primary = m_view.Primary();
  if (primary == nullptr || primary->m_id != member ||
      m_has_primary_stepped_down) {
    return;
  }
  m_has_primary_stepped_down = true;
  m_without_primary_since = context.Now();
}

void Group::OnMemberFailure(const MemberId& member,
                            bool refused,
                            Context& context) {
  m_view.OnFailure(member, refused);
  const Member* primary = m_view.Primary();
  if (refused && primary != nullptr && primary->m_id == member) {
    AdvanceElection(context);
  }
}

bool Group::OnControlAnswered(CallId id,
                              const ControlAnswer& answer,
                              Context& context) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return false;
  }
  const Call call = std::move(found->second);
  m_calls.erase(found);
  if (const auto* status = std::get_if<MemberStatus>(&answer)) {
    OnStatusAnswer(call, *status, context);
  } else if (const auto* grant = std::get_if<GrantAnswer>(&answer)) {
    OnGrantAnswer(call, *grant, context);
  } else if (const auto* done = std::get_if<ControlDone>(&answer)) {
    OnPromotionAnswer(call, done->m_done, context);
  } else {
    OnCallFailed(call, std::get<ControlFailed>(answer), context);
  }
  return true;
}

void Group::OnGroupReport(const InstanceId& /*from*/,
                          const GroupReport& report,
                          Context& context) {
  if (!report.m_primary.empty() &&
      m_view.LearnPrimary(report.m_term, report.m_primary)) {
    OnPrimaryLearned(context);
    return;
  }
  if (m_phase != Phase::kConsulting || report.m_term != m_view.term()) {
    return;
  }
  ++m_peer_answers;
  if (report.m_primary_age && *report.m_primary_age < kRecentContactLimit) {
    m_is_contradicted = true;
  }
  if (m_peer_answers >= m_consulted_peers) {
    EndConsultation(context);
  }
}

void Group::OnSuspicion(const InstanceId& from,
                        const PrimarySuspicion& /*suspicion*/,
                        Context& context) {
  context.Send(from, Report(context));
  // Ask the primary directly, because the peer may be right.
  const Member* primary = m_view.Primary();
  if (primary != nullptr && !HasStatusCall(primary->m_id)) {
    RequestStatus(*m_view.Find(primary->m_id), context);
  }
}

void Group::OnPublished(Term term, const MemberId& member, Context& context) {
  if (m_view.LearnPrimary(term, member)) {
    OnPrimaryLearned(context);
  }
}

void Group::RequestSwitchover(const MemberId& successor, Context& context) {
  m_requested_successor = successor;
  m_retry_after = context.Now();
}

void Group::OnPaused(Context& context) {
  m_view.ResetSilence(context.Now());
  if (m_phase != Phase::kGranting && m_phase != Phase::kPromoting) {
    m_phase = Phase::kIdle;
  }
}

void Group::OnTick(Context& context) {
  if (m_without_primary_since == Time::min()) {
    m_without_primary_since = context.Now();
  }
  PollMembers(context);
  PollForConfirmations(context);
  SendFollowRequests(context);
  AdvanceElection(context);
}

void Group::CallMember(const Member& member,
                       ControlRequest request,
                       Context& context) {
  const CallId call =
      m_hooks->m_call(m_view.database(), member, request, context);
  m_calls.emplace(call, Call{member.m_id, context.Now(), std::move(request)});
}

bool Group::HasStatusCall(const MemberId& member) const {
  return std::any_of(
      m_calls.begin(), m_calls.end(), [&member](const auto& entry) {
        const Call& call = entry.second;
        return call.m_member == member &&
               std::holds_alternative<StatusRequest>(call.m_request);
      });
}

void Group::RequestStatus(const MemberView& view, Context& context) {
  CallMember(view.m_member, StatusRequest{}, context);
}

void Group::OnStatusAnswer(const Call& call,
                           const MemberStatus& status,
                           Context& context) {
  const bool has_new_primary =
      m_view.OnStatus(call.m_member, status, call.m_asked, context.Now());
  const Member* primary = m_view.Primary();
  if (primary != nullptr && primary->m_id == call.m_member &&
      (status.m_role != MemberRole::kPrimary ||
       status.m_granted_term > m_view.term())) {
    OnNotPrimary(call.m_member, context);
  }
  if (has_new_primary) {
    OnPrimaryLearned(context);
  }
  SettleConfirmations(context);
  PollForConfirmations(context);
}

void Group::OnGrantAnswer(const Call& call,
                          const GrantAnswer& answer,
                          Context& context) {
  const auto& wanted = std::get<GrantRequest>(call.m_request);
  if (m_phase != Phase::kGranting || wanted.m_term != m_election->term()) {
    return;
  }
  TimelineEvent event;
  event.m_kind = answer.m_granted ? TimelineKind::kTermGranted
                                  : TimelineKind::kTermRefused;
  event.m_database = m_view.database().m_name;
  event.m_term = wanted.m_term;
  event.m_detail = call.m_member.str();
  context.Record(std::move(event));
  m_view.RecordGrantedTerm(answer.m_granted_term);
  m_election->RecordGrantAnswer(call.m_member, answer);
  CountGrants(context);
}

void Group::OnPromotionAnswer(const Call& call, bool done, Context& context) {
  const auto* wanted = std::get_if<PromotionRequest>(&call.m_request);
  if (wanted == nullptr || m_phase != Phase::kPromoting) {
    return;
  }
  if (!done) {
    AbandonElection(context);
    return;
  }
  m_phase = Phase::kIdle;
  m_election.reset();
  TimelineEvent event;
  event.m_kind = TimelineKind::kPrimaryPromoted;
  event.m_database = m_view.database().m_name;
  event.m_term = wanted->m_term;
  event.m_detail = call.m_member.str();
  context.Record(std::move(event));
  if (m_view.LearnPrimary(wanted->m_term, call.m_member)) {
    OnPrimaryLearned(context);
  }
  for (const InstanceId& peer : m_hooks->m_live_peers()) {
    context.Send(peer, Report(context));
  }
  m_hooks->m_publish(m_view.database().m_name, wanted->m_term, call.m_member,
                     context);
  for (const MemberView& member : m_view.members()) {
    if (member.m_member.m_id != call.m_member) {
      m_next_follow[member.m_member.m_id] = context.Now() + kFollowInterval;
      CallMember(member.m_member,
                 FollowRequest{wanted->m_term, m_view.Primary()->m_address},
                 context);
    }
  }
}

void Group::OnCallFailed(const Call& call,
                         const ControlFailed& failure,
                         Context& context) {
  if (failure.m_asked) {
    m_view.OnFailure(call.m_member, failure.m_refused);
  }
  if (std::holds_alternative<GrantRequest>(call.m_request) &&
      m_phase == Phase::kGranting) {
    m_election->OnFailure(call.m_member);
    CountGrants(context);
  } else if (std::holds_alternative<PromotionRequest>(call.m_request) &&
             m_phase == Phase::kPromoting) {
    AbandonElection(context);
  }
}

void Group::OnPrimaryLearned(Context& context) {
  m_has_primary_stepped_down = false;
  m_without_primary_since = Time::max();
  m_requested_successor.reset();
  m_retry_after =
      std::max(m_retry_after, context.Now() + kPrimaryChangeCooldown);
  const bool is_election_newer =
      m_election && m_election->term() > m_view.term();
  if (!is_election_newer) {
    m_phase = Phase::kIdle;
    m_election.reset();
  }
  TimelineEvent event;
  event.m_kind = TimelineKind::kPrimaryLearned;
  event.m_database = m_view.database().m_name;
  event.m_term = m_view.term();
  event.m_detail = m_view.Primary() == nullptr ? std::string("unknown member")
                                               : m_view.Primary()->m_id.str();
  context.Record(std::move(event));
  // Restart the silence timers, so that the new primary is not suspected
  // because it was silent earlier.
  m_view.ResetSilence(context.Now());
  SettleConfirmations(context);
  m_hooks->m_on_primary_changed(m_view.database().m_name, context);
}

void Group::SettleConfirmations(Context& context) {
  for (const SettledConfirmation& settled : m_confirmations.Settle(m_view)) {
    m_hooks->m_on_settled(m_view.database().m_name, settled, context);
  }
}

// Asks members for their status while confirmations are pending. At first asks
// only as many replicas with an open connection as, with the primary, form a
// majority: one in a group of three. Asks all members once the oldest write has
// been pending for a quarter of kProbeInterval.
void Group::PollForConfirmations(Context& context) {
  if (m_confirmations.empty()) {
    return;
  }
  const bool is_slow =
      m_confirmations.OldestWrite() != Time::max() &&
      context.Now() - m_confirmations.OldestWrite() >= kProbeInterval / 4;
  size_t asked = 1;  // The primary counts without being asked.
  for (const MemberView& member : m_view.members()) {
    const MemberId& id = member.m_member.m_id;
    const bool is_primary =
        m_view.Primary() != nullptr && m_view.Primary()->m_id == id;
    if (is_primary && !is_slow) {
      continue;
    }
    if (HasStatusCall(id)) {
      ++asked;
      continue;
    }
    const bool has_connection =
        m_hooks->m_has_connection(m_view.database().m_name, id);
    if (!is_slow && (asked >= m_view.majority() || !has_connection)) {
      continue;
    }
    Time& next = m_next_poll[id];
    if (context.Now() >= next) {
      next = context.Now() + kConfirmPollInterval;
      RequestStatus(member, context);
    }
    ++asked;
  }
  if (asked >= m_view.majority()) {
    return;
  }
  // Too few replicas have an open connection: connect to the next one that has
  // not failed.
  for (const MemberView& member : m_view.members()) {
    const bool is_primary = m_view.Primary() != nullptr &&
                            m_view.Primary()->m_id == member.m_member.m_id;
    if (!is_primary && !member.m_failed &&
        !HasStatusCall(member.m_member.m_id)) {
      RequestStatus(member, context);
      return;
    }
  }
}

// Asks members for their status if it is due. Members that this instance does
// not use are asked only by the instance of rank 0, unless no usable primary is
// known.
void Group::PollMembers(Context& context) {
  const bool has_no_primary = !IsPrimaryUsable();
  const bool is_first_ranked = OwnRank() == 0;
  for (const MemberView& member : m_view.members()) {
    const MemberId& id = member.m_member.m_id;
    const bool is_primary =
        m_view.Primary() != nullptr && m_view.Primary()->m_id == id;
    const bool is_used =
        is_primary || m_hooks->m_has_connection(m_view.database().m_name, id);
    Duration interval = kIdlePollInterval;
    if (has_no_primary) {
      interval = kDiscoveryInterval;
    } else if (is_used) {
      interval = kProbeInterval;
    } else if (!is_first_ranked) {
      continue;
    }
    const bool is_silent = !member.m_last_answer ||
                           context.Now() - *member.m_last_answer >= interval;
    const bool is_stale =
        !member.m_status || context.Now() - member.m_status_asked >= interval;
    Time& next = m_next_poll[id];
    const bool needs_asking =
        is_primary && !has_no_primary ? is_silent : is_stale;
    if (!needs_asking || context.Now() < next || HasStatusCall(id)) {
      continue;
    }
    next = context.Now() + interval;
    RequestStatus(member, context);
  }
}

// Asks members whose log has not reached the known term to follow its primary.
// Several instances may do so at the same time, because the request is
// idempotent.
void Group::SendFollowRequests(Context& context) {
  const Member* primary = m_view.Primary();
  if (primary == nullptr || m_has_primary_stepped_down) {
    return;
  }
  for (const MemberView& member : m_view.members()) {
    const MemberId& id = member.m_member.m_id;
    if (id == primary->m_id || !member.m_status ||
        member.m_status->m_lineage.m_term >= m_view.term() ||
        member.m_status->m_granted_term > m_view.term()) {
      continue;
    }
    Time& next = m_next_follow[id];
    const bool is_old = member.m_status_asked + kFollowInterval < next;
    if (context.Now() < next || is_old) {
      continue;
    }
    next = context.Now() + kFollowInterval;
    CallMember(member.m_member,
               FollowRequest{m_view.term(), primary->m_address}, context);
  }
}

bool Group::IsPrimarySuspect(Context& context) const {
  const Member* primary = m_view.Primary();
  if (primary == nullptr || m_has_primary_stepped_down) {
    return m_without_primary_since != Time::max() &&
           context.Now() - m_without_primary_since >= kNoPrimaryTimeout &&
           HasMajorityWithoutPrimary(context);
  }
  const MemberView* view = m_view.Find(primary->m_id);
  if (view->m_refused) {
    return true;
  }
  const bool is_silent =
      view->m_failed &&
      context.Now() - view->m_silent_since >= kPrimarySuspicionTimeout;
  return is_silent || AreWritesStalled(context);
}

// Returns whether a majority of members has reported within kNoPrimaryTimeout
// and none of them is a primary that still accepts writes.
bool Group::HasMajorityWithoutPrimary(Context& context) const {
  size_t reports = 0;
  for (const MemberView& member : m_view.members()) {
    if (!member.m_status || member.m_failed ||
        context.Now() - member.m_status_asked > kNoPrimaryTimeout) {
      continue;
    }
    const MemberStatus& status = *member.m_status;
    if (status.m_role == MemberRole::kPrimary &&
        status.m_granted_term == status.m_lineage.m_term) {
      return false;
    }
    ++reports;
  }
  return reports >= m_view.majority();
}

// Returns whether writes cannot be confirmed although the primary answers: the
// oldest write has been pending for kWriteStallTimeout, and as many replicas as
// form a majority have reported within that time, all of them without recent
// data from the primary.
bool Group::AreWritesStalled(Context& context) const {
  if (m_view.Primary() == nullptr ||
      m_confirmations.OldestWrite() == Time::max() ||
      context.Now() - m_confirmations.OldestWrite() < kWriteStallTimeout) {
    return false;
  }
  size_t cut_off = 0;
  size_t reachable = 0;
  for (const MemberView& member : m_view.members()) {
    if (!member.m_status || member.m_failed ||
        member.m_member.m_id == m_view.Primary()->m_id ||
        context.Now() - member.m_status_asked > kWriteStallTimeout) {
      continue;
    }
    ++reachable;
    cut_off += member.m_status->m_data_age >= kWriteStallTimeout;
  }
  return reachable >= m_view.majority() && cut_off == reachable;
}

bool Group::MustSwitchOver() const {
  return IsPrimaryUsable() && Successor().has_value();
}

void Group::StartConsultation(Context& context) {
  const std::vector<InstanceId> peers = m_hooks->m_live_peers();
  m_phase = Phase::kConsulting;
  m_phase_until = context.Now() + kConsultationTimeout;
  m_consulted_peers = peers.size();
  m_peer_answers = 0;
  m_is_contradicted = false;
  TimelineEvent event;
  event.m_kind = TimelineKind::kPrimarySuspected;
  event.m_database = m_view.database().m_name;
  event.m_term = m_view.term();
  context.Record(std::move(event));
  const DatabaseName& database = m_view.database().m_name;
  for (const InstanceId& peer : peers) {
    context.Send(peer, PrimarySuspicion{database, m_view.term()});
  }
}

void Group::AdvanceElection(Context& context) {
  const Time now = context.Now();
  switch (m_phase) {
    case Phase::kIdle:
      if (!m_hooks->m_may_promote || now < m_retry_after) {
        return;
      }
      if (IsPrimarySuspect(context)) {
        m_is_planned = false;
        StartConsultation(context);
      } else if (MustSwitchOver()) {
        m_is_planned = true;
        m_phase = Phase::kWaiting;
        m_phase_until = now + OwnRank() * 2 * kRankDelay;
      }
      return;
    case Phase::kConsulting:
      if (now >= m_phase_until) {
        EndConsultation(context);
      }
      return;
    case Phase::kWaiting:
      if (now >= m_phase_until) {
        const bool is_needed =
            m_is_planned ? MustSwitchOver() : IsPrimarySuspect(context);
        m_phase = Phase::kIdle;
        if (is_needed) {
          StartElection(context);
        }
      }
      return;
    case Phase::kGranting:
      CountGrants(context);
      return;
    case Phase::kPromoting:
      if (now >= m_phase_until) {
        AbandonElection(context);
      }
      return;
  }
}

// Stops the attempt if a peer had a recent answer from the primary, unless the
// primary is known to have stepped down or its writes are stalled.
void Group::EndConsultation(Context& context) {
  if (m_is_contradicted && !AreWritesStalled(context) && IsPrimaryUsable()) {
    m_phase = Phase::kIdle;
    m_retry_after = context.Now() + kElectionRetryDelay;
    return;
  }
  m_phase = Phase::kWaiting;
  m_phase_until =
      context.Now() + OwnRank() * kRankDelay + context.RandomUpTo(kRankJitter);
  AdvanceElection(context);
}

void Group::StartElection(Context& context) {
  const Term term(m_view.HighestGranted().value() + 1);
  m_phase = Phase::kGranting;
  m_phase_until = context.Now() + kElectionTimeout;
  m_election.emplace(term, context.Now(), AvoidedMembers());
  // The candidate's name is unique to this attempt. A member that has granted a
  // term grants it again to the same candidate. If a later attempt, for example
  // by a restarted process, used the same name, it could have a second member
  // promoted at this term.
  const InstanceId candidate(m_self.str() + "/" +
                             std::to_string(context.Random()()));
  for (const MemberView& member : m_view.members()) {
    CallMember(member.m_member, GrantRequest{term, candidate}, context);
  }
}

void Group::CountGrants(Context& context) {
  const size_t members = m_view.members().size();
  const bool has_majority = m_election->GrantCount() >= m_view.majority();
  const bool is_complete = m_election->IsComplete(members);
  if (!has_majority) {
    if (is_complete || context.Now() >= m_phase_until) {
      AbandonElection(context);
    }
    return;
  }
  if (!is_complete &&
      context.Now() - m_election->started() < kRemainingGrantsWait) {
    return;
  }
  const std::optional<Member> chosen = m_election->Choose(m_view);
  if (!chosen) {
    AbandonElection(context);
    return;
  }
  m_phase = Phase::kPromoting;
  m_phase_until = context.Now() + kElectionTimeout;
  CallMember(*chosen, PromotionRequest{m_election->term()}, context);
}

void Group::AbandonElection(Context& context) {
  m_phase = Phase::kIdle;
  m_election.reset();
  m_retry_after = context.Now() + kElectionRetryDelay / 2 +
                  context.RandomUpTo(kElectionRetryDelay);
  // Grants of the abandoned election made the old primary refuse writes, so the
  // time without a usable primary starts now.
  if (m_without_primary_since == Time::max() && m_has_primary_stepped_down) {
    m_without_primary_since = context.Now();
  }
}

std::set<MemberId> Group::AvoidedMembers() const {
  std::set<MemberId> avoided;
  for (const MemberView& member : m_view.members()) {
    const MemberId& id = member.m_member.m_id;
    const bool is_other = m_requested_successor && *m_requested_successor != id;
    if (m_hooks->m_is_zone_out(member.m_member.m_zone) || is_other) {
      avoided.insert(id);
    }
  }
  return avoided;
}

// Returns the member that should become primary by a planned change; nullopt if
// no change is needed or no suitable member is available.
std::optional<MemberId> Group::Successor() const {
  const Member* primary = m_view.Primary();
  if (primary == nullptr) {
    return std::nullopt;
  }
  const bool must_leave = m_hooks->m_is_zone_out(primary->m_zone);
  const bool is_requested =
      m_requested_successor && *m_requested_successor != primary->m_id;
  if (!must_leave && !is_requested) {
    return std::nullopt;
  }
  for (const MemberView& member : m_view.members()) {
    const MemberId& id = member.m_member.m_id;
    const bool fits =
        is_requested ? id == *m_requested_successor : id != primary->m_id;
    if (fits && !member.m_failed &&
        !m_hooks->m_is_zone_out(member.m_member.m_zone)) {
      return id;
    }
  }
  return std::nullopt;
}

// Returns the rank of this instance among the live ones, from 0. Instances with
// the same live peers compute the same order for a database and term
// (rendezvous hashing, Thaler and Ravishankar, 1998).
size_t Group::OwnRank() const {
  const std::string salt = m_view.database().m_name.str() + '/' +
                           std::to_string(m_view.term().value()) + '/';
  const auto weight = [&salt](const InstanceId& instance) {
    const std::string text = salt + instance.str();
    return XXH3_64bits(text.data(), text.size());
  };
  const uint64_t own = weight(m_self);
  size_t rank = 0;
  for (const InstanceId& peer : m_hooks->m_live_peers()) {
    rank += weight(peer) > own;
  }
  return rank;
}

GroupReport Group::Report(Context& context) const {
  GroupReport report;
  report.m_database = m_view.database().m_name;
  report.m_term = m_view.term();
  if (const Member* primary = m_view.Primary()) {
    report.m_primary = primary->m_id;
    const MemberView* view = m_view.Find(primary->m_id);
    const bool is_heard =
        view->m_last_answer && !view->m_failed && !m_has_primary_stepped_down;
    if (is_heard) {
      report.m_primary_age = context.Now() - *view->m_last_answer;
    }
  }
  return report;
}

}  // namespace jasminelug::core
