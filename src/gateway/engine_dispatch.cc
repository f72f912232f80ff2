// Part of Engine that places statements: it chooses the member and the
// connection for a statement.

#include <algorithm>
#include <utility>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {
namespace {

// Maximum number of placements and forwards of one statement.
constexpr int kMaxAttempts = 24;
// Number of connections to each member for an instance that is shutting down.
constexpr int kBudgetAtShutdown = 1;

}  // namespace

void Engine::PlaceOrEnqueue(Session* session, Time now) {
  ActiveStatement& active = *session->m_active;
  Group& group = GroupOf(session->m_route.m_group);
  if (!TryPlace(session, now)) {
    active.m_waiting = true;
    if (group.m_queue.empty()) {
      group.m_placement_interval.NoteQueueStart(now);
      group.m_primary_placement_interval.NoteQueueStart(now);
    }
    group.m_queue.Add(QueuedStatementOf(*session));
  }
}

void Engine::RemoveFromQueue(Session* session) {
  if (!session->m_active || !session->m_active->m_waiting) {
    return;
  }
  GroupOf(session->m_route.m_group).m_queue.Remove(QueuedStatementOf(*session));
  session->m_active->m_waiting = false;
}

QueuedStatement Engine::QueuedStatementOf(const Session& session) {
  const ActiveStatement& active = *session.m_active;
  return {session.m_route.m_priority, active.m_objective_at, session.m_id,
          active.m_needs_primary};
}

int Engine::InFlightLimit(const MemberState& state) const {
  const Member& member = state.m_member;
  return m_holders.InFlightFor(member.m_group, member.m_slots, member.m_zone);
}

void Engine::PlaceAfterDelay(Session* session, Duration delay, Time now) {
  ActiveStatement& active = *session->m_active;
  active.m_sent = false;
  active.m_values_sent = false;
  if (active.m_attempts >= kMaxAttempts || now + delay >= active.m_deadline) {
    Refuse(session, ErrorCode::kBusy, "no member could run it", now);
    return;
  }
  active.m_not_before = now + delay;
  PlaceOrEnqueue(session, now);
}

void Engine::Dispatch(const GroupName& name, Time now) {
  Group& group = GroupOf(name);
  if (group.m_queue.empty()) {
    return;
  }
  for (const QueuedStatement& queued : group.m_queue.InOrder(now)) {
    Session* session = FindSession(queued.m_session);
    if (!session || !session->m_active || !session->m_active->m_waiting) {
      continue;
    }
    if (TryPlace(session, now)) {
      RemoveFromQueue(session);
      group.m_placement_interval.NotePlaced(now);
      if (session->m_active->m_member == group.m_primary.m_member) {
        group.m_primary_placement_interval.NotePlaced(now);
      }
    }
  }
}

bool Engine::IsPrimaryUsable(const Group& group, Time now) const {
  return group.m_primary.m_member && group.m_primary.m_usable &&
         m_primary_contact.IsFresh(now, m_options.m_primary_contact_limit);
}

std::optional<FreshnessSample> Engine::FreshnessFloorOf(const Session& session,
                                                        Time now) const {
  const Group* group = FindGroup(session.m_route.m_group);
  std::optional<FreshnessSample> floor =
      group->m_floor.Find(now, session.m_route.m_max_staleness);
  if (!floor) {
    return std::nullopt;
  }
  const bool own =
      session.m_route.m_consistency == Consistency::kReadYourWrites &&
      session.m_last_commit &&
      session.m_last_commit->m_position > floor->m_position;
  return own ? session.m_last_commit : floor;
}

int Engine::BudgetOf(const MemberState& state) const {
  const int budget =
      m_holders.BudgetFor(state.m_member.m_group, state.m_member.m_zone);
  // The instances that continue to run need the other connections.
  return m_shutdown_since ? std::min(budget, kBudgetAtShutdown) : budget;
}

// Closes idle connections that exceed the budget. When instances are restarted
// one after another, the holders change, and a member counts the idle
// connections of a former holder as well as those of the new one.
void Engine::DropExcessIdleConnections(Time now) {
  for (const auto& [group, state] : m_groups) {
    for (MemberState* member : m_members.MembersOf(group)) {
      Connection* idle = m_connections.FindOldestIdle(member->m_member.m_id);
      while (idle && member->m_connections > BudgetOf(*member)) {
        CloseConnection(idle, now);
        idle = m_connections.FindOldestIdle(member->m_member.m_id);
      }
    }
  }
}

std::optional<PlacementOption> Engine::OptionAt(const Session& session,
                                                MemberState* state,
                                                bool is_primary,
                                                Time now) {
  const Member& member = state->m_member;
  const int in_flight = m_connections.CountInFlight(member.m_id);
  if (state->m_unavailable_until > now || in_flight >= InFlightLimit(*state)) {
    return std::nullopt;
  }
  PlacementOption option;
  option.m_member = member.m_id;
  option.m_turnaround = state->ExpectedTurnaround(now);
  option.m_busy = in_flight;
  option.m_slots = member.m_slots;
  option.m_same_zone = member.m_zone == m_options.m_zone;
  option.m_same_region = IsNear(member);
  option.m_is_replica = !is_primary;
  if (m_connections.FindIdle(member.m_id, session.m_customer,
                             session.m_values)) {
    option.m_source = ConnectionSource::kIdle;
    return option;
  }
  const bool within_budget = state->m_connections < BudgetOf(*state);
  option.m_source =
      within_budget ? ConnectionSource::kOpen : ConnectionSource::kReplace;
  const bool may_open =
      state->m_no_connecting_until <= now &&
      (within_budget || m_connections.FindOldestIdle(member.m_id));
  return may_open ? std::optional(option) : std::nullopt;
}

std::vector<PlacementOption> Engine::OptionsFor(Session* session, Time now) {
  ActiveStatement& active = *session->m_active;
  const Group& group = GroupOf(session->m_route.m_group);
  std::vector<PlacementOption> options;
  active.m_floor.reset();
  if (!active.m_needs_primary) {
    active.m_floor = FreshnessFloorOf(*session, now);
  }
  for (MemberState* state : m_members.MembersOf(session->m_route.m_group)) {
    const bool is_primary = group.m_primary.m_member == state->m_member.m_id;
    const bool may_serve =
        MayServe(*session, *state, active.m_needs_primary, active.m_floor, now);
    const bool excluded = !is_primary && active.m_excluded_replicas.contains(
                                             state->m_member.m_id);
    if (!may_serve || excluded) {
      continue;
    }
    std::optional<PlacementOption> option =
        OptionAt(*session, state, is_primary, now);
    if (option) {
      options.push_back(*option);
    }
  }
  return options;
}

bool Engine::MayServe(const Session& session,
                      const MemberState& state,
                      bool needs_primary,
                      const std::optional<FreshnessSample>& floor,
                      Time now) const {
  const Group* group = FindGroup(session.m_route.m_group);
  if (!m_members.AcceptsWork(state.m_member)) {
    return false;
  }
  if (group->m_primary.m_member == state.m_member.m_id) {
    return IsPrimaryUsable(*group, now);
  }
  return !needs_primary && floor &&
         !m_members.LikelyLacksPosition(state, now - floor->m_sent, now);
}

QueueLoad Engine::QueueLoadFor(const Session& session,
                               const QueuedStatement& queued,
                               LoadScope scope,
                               Time now) const {
  QueueLoad load;
  const Group* group = FindGroup(session.m_route.m_group);
  if (!group) {
    return load;
  }
  const bool needs_primary = NeedsPrimary(session, now);
  const std::optional<FreshnessSample> floor =
      needs_primary ? std::nullopt : FreshnessFloorOf(session, now);
  bool replica_serves = false;
  Duration turnaround{0};
  for (const MemberState* state :
       m_members.MembersOf(session.m_route.m_group)) {
    const bool in_scope =
        scope == LoadScope::kAllRegions || IsNear(state->m_member);
    if (!in_scope || !MayServe(session, *state, needs_primary, floor, now)) {
      continue;
    }
    replica_serves |= group->m_primary.m_member != state->m_member.m_id;
    const int usable = std::min(BudgetOf(*state), InFlightLimit(*state));
    load.m_connections += usable;
    load.m_busy += m_connections.CountInFlight(state->m_member.m_id);
    turnaround += state->m_turnaround * usable;
  }
  if (load.m_connections > 0) {
    load.m_turnaround = turnaround / load.m_connections;
  }
  // If no replica can serve the statement, every queued statement competes for
  // the primary.
  load.m_waiting = group->m_queue.CountAhead(queued, !replica_serves, now);
  if (!group->m_queue.empty()) {
    load.m_interval = replica_serves
                          ? group->m_placement_interval.Interval(now)
                          : group->m_primary_placement_interval.Interval(now);
  }
  return load;
}

bool Engine::TryPlace(Session* session, Time now) {
  if (session->m_active->m_not_before > now) {
    return false;
  }
  const std::optional<PlacementOption> option = ChooseOption(session, now);
  if (!option) {
    return false;
  }
  Place(session, *option, now);
  return true;
}

void Engine::Place(Session* session, const PlacementOption& option, Time now) {
  ActiveStatement& active = *session->m_active;
  active.m_attempts += 1;
  active.m_member = option.m_member;
  active.m_placed = now;
  const Group& group = GroupOf(session->m_route.m_group);
  if (group.m_primary.m_member == option.m_member) {
    active.m_floor.reset();
  }
  MemberState* state = m_members.Find(option.m_member);
  if (option.m_source == ConnectionSource::kIdle) {
    Connection* connection = m_connections.FindIdle(
        option.m_member, session->m_customer, session->m_values);
    connection->m_stage = Connection::Stage::kInUse;
    connection->m_session = session->m_id;
    session->m_connection = connection->m_id;
    state->m_busy += 1;
    SendStatement(session, connection, now);
    return;
  }
  if (option.m_source == ConnectionSource::kReplace) {
    CloseConnection(m_connections.FindOldestIdle(option.m_member), now);
  }
  Connection* connection = m_connections.Add(
      option.m_member, session->m_route.m_group, session->m_customer, now);
  connection->m_session = session->m_id;
  session->m_connection = connection->m_id;
  state->m_connections += 1;
  state->m_busy += 1;
  m_hooks.m_open_connection(connection->m_id, state->m_member,
                            session->m_customer);
}

}  // namespace jasminelug::gateway
