#include "src/gateway/engine.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {
namespace {

// A connection that has not opened after this time is given up.
constexpr Duration kOpenTimeout = 1s;
// Number of ticks over which idle sessions are closed at shutdown, so that
// their callers do not all reconnect at once.
constexpr std::size_t kShutdownCloseTicks = 25;
// Time without activity after which a session may be closed at shutdown. The
// caller of a session that was active more recently may just be sending a
// statement, which would be lost.
constexpr Duration kIdleBeforeClosing = 150ms;
// Time after which a connection is given up if it has unanswered statements but
// no session.
constexpr Duration kAbandonedTimeout = 2500ms;
// A primary that has unanswered statements and has sent nothing for this time
// is probed. If it does not answer the probe within this time either, it counts
// as failing.
constexpr Duration kPrimaryResponseTimeout = 300ms;
// A primary is responsive if it has answered within this time.
constexpr Duration kResponsiveWindow = 1500ms;
// A read is retried speculatively after this multiple of the member's usual
// turnaround, but not before kMinSpeculativeRetryDelay.
constexpr int kSpeculativeRetryFactor = 5;
constexpr Duration kMinSpeculativeRetryDelay = 150ms;
constexpr int kMaxSpeculativeRetries = 2;

}  // namespace

Engine::Engine(EngineOptions options, EngineHooks hooks)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_holders(m_options.m_self, m_options.m_regions),
      m_forwards(m_options.m_self, m_options.m_incarnation),
      m_session_state(m_options.m_session_state_limit) {}

Session* Engine::FindSession(SessionId id) {
  const auto found = m_sessions.find(id.value());
  return found == m_sessions.end() ? nullptr : found->second.get();
}

Connection* Engine::ConnectionOf(const Session& session) {
  return session.m_connection ? m_connections.Find(*session.m_connection)
                              : nullptr;
}

const Engine::Group* Engine::FindGroup(const GroupName& name) const {
  const auto found = m_groups.find(name);
  return found == m_groups.end() ? nullptr : &found->second;
}

void Engine::SetConfiguration(
    std::shared_ptr<const Configuration> configuration,
    Time now) {
  m_configuration = std::move(configuration);
  m_limiter.SetLimits(*m_configuration, now);
  for (const auto& [group, limits] : m_configuration->m_groups) {
    GroupOf(group);
    m_holders.SetConnections(group, limits.m_max_connections);
  }
}

void Engine::SetMembers(const std::vector<Member>& members, Time now) {
  for (const MemberId& gone : m_members.SetMembers(members)) {
    for (const ConnectionId id : m_connections.AllOf(gone)) {
      Connection* connection = m_connections.Find(id);
      if (connection->m_stage == Connection::Stage::kIdle) {
        CloseConnection(connection, now);
      }
    }
  }
  for (auto& [name, group] : m_groups) {
    Dispatch(name, now);
  }
}

void Engine::SetEvacuatedZones(const std::set<ZoneName>& zones, Time now) {
  m_members.SetEvacuatedZones(zones);
  for (auto& [name, group] : m_groups) {
    Dispatch(name, now);
  }
}

void Engine::SetInstances(const std::vector<InstanceEntry>& instances,
                          Time now) {
  m_holders.SetInstances(instances, m_options.m_zone);
  DropExcessIdleConnections(now);
}

void Engine::SetPrimary(const GroupName& name,
                        const PrimaryView& primary,
                        bool abandon,
                        Time now) {
  Group& group = GroupOf(name);
  const PrimaryView before = group.m_primary;
  // Set first, so that no abandoned statement is placed there again.
  group.m_primary = primary;
  if (before.m_member && !primary.m_usable && abandon) {
    AbandonStatements(*before.m_member, now);
  }
  if (before == primary) {
    return;
  }
  const bool replaced = before.m_member != primary.m_member;
  if (replaced) {
    group.m_floor.Clear();
    group.m_primary_failing_since.reset();
  }
  if (before.m_member && replaced) {
    AbandonStatements(*before.m_member, now);
    while (Connection* idle = m_connections.FindOldestIdle(*before.m_member)) {
      CloseConnection(idle, now);
    }
  }
  Dispatch(name, now);
}

// Closes the connections to a member that are in use, except those that request
// its status.
void Engine::AbandonStatements(const MemberId& member, Time now) {
  for (const ConnectionId id : m_connections.AllOf(member)) {
    Connection* connection = m_connections.Find(id);
    const bool in_use =
        connection && connection->m_stage != Connection::Stage::kIdle;
    if (in_use && !connection->RequestsStatus()) {
      LoseConnection(connection, now);
    }
  }
}

// Abandons what is in flight to a primary that was not verified for too long.
// Other instances may soon use another one, and an answer that came later would
// acknowledge what the replaced primary has committed.
void Engine::AbandonUnverifiedPrimary(const Group& group, Time now) {
  if (group.m_primary.m_member &&
      !m_primary_contact.IsFresh(now, m_options.m_primary_contact_limit)) {
    AbandonStatements(*group.m_primary.m_member, now);
  }
}

bool Engine::IsPrimaryUsable(const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group && group->m_primary.m_usable;
}

bool Engine::IsPrimaryIdle(const GroupName& name) const {
  // The connections are counted, not MemberState::m_busy: it is lost when the
  // primary's entry is removed and announced again.
  const std::optional<MemberId> primary = PrimaryOf(name);
  return !primary || m_connections.AreAllIdle(*primary);
}

std::optional<FreshnessSample> Engine::NewestSample(
    const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group ? group->m_floor.Newest() : std::nullopt;
}

void Engine::AddSample(const GroupName& name,
                       const FreshnessSample& sample,
                       Time now) {
  GroupOf(name).m_floor.Add(sample, now);
}

std::optional<MemberId> Engine::PrimaryOf(const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group ? group->m_primary.m_member : std::nullopt;
}

std::optional<Time> Engine::PrimaryFailingSince(const GroupName& name,
                                                Time now) const {
  const Group* group = FindGroup(name);
  if (!group || !group->m_primary.m_member) {
    return std::nullopt;
  }
  if (group->m_primary_failing_since) {
    return group->m_primary_failing_since;
  }
  const MemberId& primary = *group->m_primary.m_member;
  const MemberState* state = m_members.Find(primary);
  const std::optional<Time> unanswered =
      m_connections.OldestUnanswered(primary);
  if (!state || !unanswered) {
    return std::nullopt;
  }
  const bool probe_unanswered = state->m_probed > state->m_last_contact &&
                                now - state->m_probed > kPrimaryResponseTimeout;
  if (!probe_unanswered) {
    return std::nullopt;
  }
  return std::max(*unanswered, state->m_last_contact);
}

void Engine::ProbeUnresponsivePrimary(const Group& group, Time now) {
  if (!group.m_primary.m_member) {
    return;
  }
  MemberState* state = m_members.Find(*group.m_primary.m_member);
  const std::optional<Time> unanswered =
      m_connections.OldestUnanswered(*group.m_primary.m_member);
  if (!state || !unanswered || state->m_probed > state->m_last_contact) {
    return;
  }
  if (now - std::max(*unanswered, state->m_last_contact) >
      kPrimaryResponseTimeout) {
    state->m_probed = now;
    RequestStatus(*group.m_primary.m_member, now);
  }
}

bool Engine::IsPrimaryResponsive(const GroupName& name, Time now) const {
  const std::optional<MemberId> primary = PrimaryOf(name);
  const MemberState* state = primary ? m_members.Find(*primary) : nullptr;
  return state && now - state->m_last_contact < kResponsiveWindow &&
         !PrimaryFailingSince(name, now);
}

void Engine::BeginShutdown(Time now) {
  m_shutdown_since = now;
  for (auto& [id, session] : m_sessions) {
    if (session->m_active) {
      session->m_active->m_deadline =
          CapDeadline(session->m_active->m_deadline);
    }
  }
  DropExcessIdleConnections(now);
}

void Engine::EndOverdueConnection(Connection* connection, Time now) {
  const bool opening = connection->m_stage == Connection::Stage::kOpening &&
                       now - connection->m_opened > kOpenTimeout;
  const bool abandoned = !connection->m_session &&
                         !connection->m_sent.empty() &&
                         now - connection->m_last_used > kAbandonedTimeout;
  if (opening || abandoned) {
    LoseConnection(connection, now);
  }
}

void Engine::OnTick(Time now) {
  for (const ConnectionId id : m_connections.All()) {
    Connection* connection = m_connections.Find(id);
    if (connection) {
      EndOverdueConnection(connection, now);
    }
  }
  EndUnconfirmedForwards(now);
  PingUnresponsiveHolders(now);
  m_session_closes_left = m_sessions.size() / kShutdownCloseTicks + 1;
  std::vector<SessionId> ids;
  ids.reserve(m_sessions.size());
  for (const auto& [id, session] : m_sessions) {
    ids.emplace_back(id);
  }
  for (const SessionId id : ids) {
    Session* session = FindSession(id);
    if (session) {
      EndOverdue(session, now);
    }
  }
  for (auto& [name, group] : m_groups) {
    AbandonUnverifiedPrimary(group, now);
    ProbeUnresponsivePrimary(group, now);
    const int percent_before = group.m_spill.percent();
    group.m_spill.OnTick(now);
    ReportSpill(name, group.m_spill, percent_before);
    Dispatch(name, now);
  }
}

void Engine::EndOverdue(Session* session, Time now) {
  if (session->m_active) {
    EndOverdueStatement(session, now);
    return;
  }
  if (session->m_transaction) {
    EndOverdueTransaction(session, now);
    return;
  }
  CloseIdleSession(session, now);
}

void Engine::CloseIdleSession(Session* session, Time now) {
  const bool busy = session->m_active || session->m_transaction ||
                    !session->m_pending_statements.empty();
  const bool may_close = m_shutdown_since && m_session_closes_left > 0 &&
                         now - session->m_last_activity >= kIdleBeforeClosing;
  if (busy || !(may_close || session->m_is_forwarded)) {
    return;
  }
  m_session_closes_left -= may_close ? 1 : 0;
  const SessionId id = session->m_id;
  m_session_state.Remove(id);
  m_sessions.erase(id.value());
  m_hooks.m_close_session(id);
}

void Engine::EndOverdueStatement(Session* session, Time now) {
  ActiveStatement& active = *session->m_active;
  if (now >= active.m_deadline) {
    if (active.m_sent) {
      OnStatementLost(session, now);
    } else {
      Refuse(session, ErrorCode::kBusy, "no member was free in time", now);
    }
    return;
  }
  if (session->m_remote) {
    return;  // The holder handles the wait; see EndUnconfirmedForwards().
  }
  if (active.m_waiting) {
    const std::optional<Refused> refused = CheckQueuedStatement(*session, now);
    if (refused) {
      Refuse(session, *refused, now);
    }
    return;
  }
  if (!ShouldRetrySpeculatively(*session, now)) {
    return;
  }
  // The first attempt continues, but its answer is discarded.
  m_members.NoteGivenUp(active.m_member, now);
  m_speculative_retry_budget -= 1;
  active.m_speculative_retries += 1;
  active.m_excluded_replicas.insert(active.m_member);
  Detach(session);
  PlaceAfterDelay(session, Duration::zero(), now);
}

bool Engine::ShouldRetrySpeculatively(const Session& session, Time now) const {
  const ActiveStatement& active = *session.m_active;
  const bool awaits_member = active.m_sent || active.m_values_sent;
  const bool single_read =
      awaits_member && !active.m_writes && !session.m_transaction;
  if (!single_read || m_speculative_retry_budget < 1 ||
      active.m_speculative_retries >= kMaxSpeculativeRetries) {
    return false;
  }
  const MemberState* state = m_members.Find(active.m_member);
  const Duration usual = state ? state->m_turnaround : Duration::zero();
  const Duration retry_delay =
      std::max(kMinSpeculativeRetryDelay, usual * kSpeculativeRetryFactor);
  return now - active.m_placed > retry_delay;
}

void Engine::EndOverdueTransaction(Session* session, Time now) {
  const Duration idle = now - session->m_transaction->m_last_activity;
  const Duration idle_limit =
      m_configuration ? m_configuration->m_transaction_idle_limit : 3s;
  const bool shut_down =
      m_shutdown_since &&
      now - *m_shutdown_since > m_options.m_shutdown_transaction_limit;
  if (idle <= idle_limit && !shut_down) {
    return;
  }
  if (!session->m_transaction->m_failed) {
    FailTransaction(session, now);
    session->m_transaction->m_failed_unnoticed = true;
  } else if (session->m_is_forwarded) {
    // The sender is gone or has been told of the failure.
    session->m_transaction.reset();
  }
}

}  // namespace jasminelug::gateway
