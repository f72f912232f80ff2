// Part of Engine that places statements: it chooses the member and the
// connection for a statement, and sends what must precede it.

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {
namespace {

// Maximum number of placements and forwards of one statement.
constexpr int kMaxAttempts = 24;
// Number of connections to each member for an instance that is shutting down.
constexpr int kBudgetAtShutdown = 1;

bool IsCommit(const ActiveStatement& active) {
  return active.m_statement.m_kind == StatementKind::kCommit;
}

// Returns the purpose of a statement that is sent in one write with others, of
// which the last has `last_purpose`.
SentPurpose PurposeOf(MemberVerb verb, SentPurpose last_purpose, bool last) {
  if (last) {
    return last_purpose;
  }
  return verb == MemberVerb::kPrepare ? SentPurpose::kPrepare
                                      : SentPurpose::kValue;
}

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

bool Engine::IsNear(const Member& member) const {
  return m_options.m_regions.AreTogether(member.m_zone, m_options.m_zone);
}

std::optional<PlacementOption> Engine::ChooseOption(Session* session,
                                                    Time now) {
  const std::vector<PlacementOption> options = OptionsFor(session, now);
  const bool has_choice =
      m_options.m_regions.are_several() && !session->m_active->m_needs_primary;
  return has_choice ? ChooseRegion(session, options, now)
                    : ChoosePlacement(options);
}

// Chooses between the best member of the own region and the best one elsewhere.
// Returns nullopt if the statement waits.
std::optional<PlacementOption> Engine::ChooseRegion(
    Session* session,
    const std::vector<PlacementOption>& options,
    Time now) {
  const auto best_where = [&options](bool same_region) {
    std::vector<PlacementOption> part;
    std::copy_if(options.begin(), options.end(), std::back_inserter(part),
                 [same_region](const PlacementOption& option) {
                   return option.m_same_region == same_region;
                 });
    return ChoosePlacement(part);
  };
  const std::optional<PlacementOption> near = best_where(true);
  const std::optional<PlacementOption> far = best_where(false);
  ActiveStatement& active = *session->m_active;
  SpillInput input;
  input.m_near = NearTimeOf(*session, near, now);
  input.m_near_is_free = near.has_value();
  if (far) {
    input.m_far = ExpectedTime(*far);
  }
  input.m_objective = session->m_route.m_objective;
  input.m_time_left = active.m_objective_at - now;
  input.m_has_turn =
      now - active.m_region_chosen >= SpillControl::kStepInterval;
  if (input.m_has_turn) {
    active.m_region_chosen = now;
  }
  SpillControl& spill = GroupOf(session->m_route.m_group).m_spill;
  const int percent_before = spill.percent();
  const SpillChoice choice = spill.Choose(input, now);
  ReportSpill(session->m_route.m_group, spill, percent_before);
  switch (choice) {
    case SpillChoice::kNear:
      return near;
    case SpillChoice::kFar:
      return far;
    case SpillChoice::kWait:
      return std::nullopt;
  }
  return std::nullopt;
}

// Reports that the part of the statements that may leave the region has become
// positive, or zero.
void Engine::ReportSpill(const GroupName& group,
                         const SpillControl& spill,
                         int percent_before) const {
  const bool begins = spill.percent() > 0;
  if (begins != (percent_before > 0)) {
    m_hooks.m_spill_changed(group, spill.last_input(), begins);
  }
}

// Returns when the own region is expected to answer; nullopt if no member there
// can serve the statement. `near` is the best member there that is free.
std::optional<Duration> Engine::NearTimeOf(
    const Session& session,
    const std::optional<PlacementOption>& near,
    Time now) const {
  if (near) {
    return ExpectedTime(*near);
  }
  const QueueLoad load = QueueLoadFor(session, QueuedStatementOf(session),
                                      LoadScope::kOwnRegion, now);
  return load.m_connections > 0 ? std::optional(ExpectedAnswerTime(load))
                                : std::nullopt;
}

const SpillControl* Engine::SpillOf(const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group ? &group->m_spill : nullptr;
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

// Returns whether the connection's member may still be used. A primary may
// have been replaced while the connection was opening or between two statements
// of a transaction.
bool Engine::MaySendOn(const Connection& connection, Time now) const {
  const Group* group = FindGroup(connection.m_group);
  const bool is_primary =
      group && group->m_primary.m_member == connection.m_member;
  return !is_primary ||
         m_primary_contact.IsFresh(now, m_options.m_primary_contact_limit);
}

// Sends the active statement, or first what must precede it: the session's
// values, then the BEGIN of its transaction. Each step awaits the answers to
// the one before, because a member that refuses a value would run the statement
// without it.
void Engine::SendStatement(Session* session, Connection* connection, Time now) {
  ActiveStatement& active = *session->m_active;
  if (!MaySendOn(*connection, now)) {
    OnStatementLost(session, now);
    return;
  }
  const std::vector<MemberStatement> values =
      TakeValuesFor(*session, connection);
  if (!values.empty()) {
    connection->m_may_await_values |=
        connection->m_has_plain_answer || values.size() > 1;
    active.m_values_sent = true;
    Send(connection, values, SentPurpose::kValue, nullptr, now);
    return;
  }
  if (session->m_transaction && !session->m_transaction->m_begun) {
    SendBegin(session, connection, now);
    return;
  }
  std::vector<MemberStatement> statements =
      TakePrepareFor(*session, connection);
  statements.push_back(MemberStatementFor(*session, *connection));
  active.m_sent = true;
  active.m_evidence = EvidenceFor(*session, *connection, now);
  if (session->m_transaction && active.m_writes) {
    session->m_transaction->m_wrote = true;
  }
  Send(connection, statements, SentPurpose::kStatement, &active, now);
}

StatementEvidence Engine::EvidenceFor(const Session& session,
                                      const Connection& connection,
                                      Time now) const {
  StatementEvidence evidence;
  evidence.m_connection = connection.m_id;
  evidence.m_answers_before = connection.m_answers;
  const Group* group = FindGroup(connection.m_group);
  if (group) {
    evidence.m_as_primary = group->m_primary.m_member == connection.m_member;
    evidence.m_record = group->m_primary.m_record;
  }
  evidence.m_contact_age = m_primary_contact.Age(now);
  if (session.m_active->m_floor) {
    evidence.m_required = session.m_active->m_floor->m_position;
  }
  return evidence;
}

void Engine::SendBegin(Session* session, Connection* connection, Time now) {
  // The answer to PREPARE can be told from that to BEGIN, because only the
  // latter leaves a transaction open.
  std::vector<MemberStatement> statements =
      TakePrepareFor(*session, connection);
  MemberStatement begin;
  begin.m_verb = session->m_transaction->m_read_only
                     ? MemberVerb::kBeginReadOnly
                     : MemberVerb::kBegin;
  if (session->m_active->m_floor) {
    begin.m_after = session->m_active->m_floor->m_position;
  }
  statements.push_back(begin);
  Send(connection, statements, SentPurpose::kBegin, nullptr, now);
}

MemberStatement Engine::MemberStatementFor(const Session& session,
                                           const Connection& connection) const {
  const Statement& statement = session.m_active->m_statement;
  MemberStatement forward;
  forward.m_id = statement.m_id;
  forward.m_text = statement.m_text;
  if (statement.m_kind == StatementKind::kExecute) {
    forward.m_verb = MemberVerb::kExecute;
    forward.m_name =
        connection.m_prepared.at(session.m_prepared.at(statement.m_name));
    forward.m_argument = statement.m_argument;
  }
  if (!session.m_transaction && session.m_active->m_floor) {
    forward.m_after = session.m_active->m_floor->m_position;
  }
  return forward;
}

// Returns the statements that give the connection the session's values, and
// notes that it has them.
std::vector<MemberStatement> Engine::TakeValuesFor(const Session& session,
                                                   Connection* connection) {
  std::vector<MemberStatement> setup;
  const bool foreign_value =
      std::any_of(connection->m_values.begin(), connection->m_values.end(),
                  [&session](const auto& value) {
                    return !session.m_values.contains(value.first);
                  });
  if (foreign_value && !connection->m_in_transaction) {
    MemberStatement statement;
    statement.m_verb = MemberVerb::kReset;
    setup.push_back(statement);
    connection->m_values.clear();
    connection->m_prepared.clear();
  }
  for (const auto& [name, value] : session.m_values) {
    const auto held = connection->m_values.find(name);
    if (held != connection->m_values.end() && held->second == value) {
      continue;
    }
    MemberStatement statement;
    statement.m_verb = MemberVerb::kSetValue;
    statement.m_name = name;
    statement.m_argument = value;
    setup.push_back(statement);
    connection->m_values[name] = value;
  }
  return setup;
}

// Returns the statement that prepares what the active statement executes, if
// the connection lacks it, and notes that it has it. If the member refuses it,
// the active statement does not run, even if it is sent behind it: each name is
// new on its connection.
std::vector<MemberStatement> Engine::TakePrepareFor(const Session& session,
                                                    Connection* connection) {
  const Statement& statement = session.m_active->m_statement;
  if (statement.m_kind != StatementKind::kExecute) {
    return {};
  }
  const PreparedShape& shape = session.m_prepared.at(statement.m_name);
  if (connection->m_prepared.contains(shape)) {
    return {};
  }
  MemberStatement prepare;
  prepare.m_verb = MemberVerb::kPrepare;
  prepare.m_name = "p" + std::to_string(connection->m_next_prepared++);
  prepare.m_prepared = shape;
  connection->m_prepared[shape] = prepare.m_name;
  return {prepare};
}

void Engine::RequestStatus(const MemberId& member, Time now) {
  MemberState* state = m_members.Find(member);
  if (!state || !m_configuration || m_configuration->m_customers.empty()) {
    return;
  }
  Connection* connection = m_connections.FindOldestIdle(member);
  if (connection) {
    connection->m_stage = Connection::Stage::kInUse;
    state->m_busy += 1;
    SendStatus(connection, now);
    return;
  }
  // This connection may exceed the budget by one, because all others may have
  // unanswered statements.
  if (state->m_connections > BudgetOf(*state)) {
    return;
  }
  connection =
      m_connections.Add(member, state->m_member.m_group,
                        m_configuration->m_customers.begin()->first, now);
  connection->m_is_status_request = true;
  state->m_connections += 1;
  state->m_busy += 1;
  m_hooks.m_open_connection(connection->m_id, state->m_member,
                            connection->m_customer);
}

void Engine::SendStatus(Connection* connection, Time now) {
  connection->m_is_status_request = false;
  MemberStatement status;
  status.m_verb = MemberVerb::kStatus;
  Send(connection, {status}, SentPurpose::kCommand, nullptr, now);
}

// Sends statements in one write. `active` is set if the last of them is the
// session's own.
void Engine::Send(Connection* connection,
                  const std::vector<MemberStatement>& statements,
                  SentPurpose last_purpose,
                  const ActiveStatement* active,
                  Time now) {
  const Group& group = GroupOf(connection->m_group);
  SentStatement sent;
  sent.m_sent = now;
  sent.m_to_primary = group.m_primary.m_member == connection->m_member &&
                      IsPrimaryUsable(group, now);
  for (std::size_t i = 0; i < statements.size(); ++i) {
    const bool last = i + 1 == statements.size();
    sent.m_purpose = PurposeOf(statements[i].m_verb, last_purpose, last);
    const bool commits = last && active && IsCommit(*active);
    sent.m_expected = ExpectedAnswerTo(statements[i].m_verb,
                                       connection->m_in_transaction, commits);
    const bool changes_data = commits || (last && active && active->m_writes);
    sent.m_own_error = !(connection->m_may_await_values && changes_data);
    connection->m_sent.push_back(sent);
  }
  connection->m_last_used = now;
  m_hooks.m_send(connection->m_id, statements);
}

}  // namespace jasminelug::gateway
