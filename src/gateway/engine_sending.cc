// Part of Engine that sends statements to members, and first what must precede
// them on their connection.

#include <algorithm>
#include <string>
#include <utility>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {
namespace {

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
