// Part of Engine that handles the answers of members and lost connections.

#include <algorithm>
#include <utility>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {
namespace {

// Delay before a statement is retried after a member refused it as read-only;
// the primary may just have changed.
constexpr Duration kReadOnlyRetryDelay = 40ms;
// Delay before a statement is retried on the primary after the member refused
// it for lack of capacity.
constexpr Duration kBusyRetryDelay = 25ms;

}  // namespace

void Engine::Detach(Session* session) {
  if (!session->m_connection) {
    return;
  }
  Connection* connection = m_connections.Find(*session->m_connection);
  if (connection) {
    connection->m_session.reset();
  }
  session->m_connection.reset();
}

void Engine::RemoveConnection(Connection* connection) {
  MemberState* state = m_members.Find(connection->m_member);
  if (state) {
    const bool busy = connection->m_stage != Connection::Stage::kIdle;
    state->m_connections = std::max(state->m_connections - 1, 0);
    state->m_busy = std::max(state->m_busy - (busy ? 1 : 0), 0);
  }
  m_connections.Remove(connection->m_id);
}

void Engine::CloseConnection(Connection* connection, Time) {
  const ConnectionId id = connection->m_id;
  RemoveConnection(connection);
  m_hooks.m_close_connection(id);
}

void Engine::ReturnToPool(Connection* connection, Time now) {
  const GroupName group = connection->m_group;
  MemberState* state = m_members.Find(connection->m_member);
  if (state && connection->m_stage != Connection::Stage::kIdle) {
    state->m_busy = std::max(state->m_busy - 1, 0);
  }
  connection->m_stage = Connection::Stage::kIdle;
  connection->m_session.reset();
  connection->m_last_used = now;
  const bool over_budget = !state || state->m_connections > BudgetOf(*state) ||
                           !m_members.AcceptsWork(state->m_member);
  // The member rolls the transaction of a closed connection back.
  if (over_budget || connection->m_is_retired || connection->m_in_transaction) {
    CloseConnection(connection, now);
  }
  Dispatch(group, now);
}

void Engine::RecycleConnection(Connection* connection, Time now) {
  if (connection->m_stage == Connection::Stage::kOpening) {
    return;  // OnConnectionOpened() releases it.
  }
  if (!connection->m_sent.empty()) {
    CloseConnection(connection, now);
    return;
  }
  ReturnToPool(connection, now);
}

void Engine::NoteReachability(const Connection& connection,
                              bool reached,
                              Time now) {
  Group& group = GroupOf(connection.m_group);
  MemberState* state = m_members.Find(connection.m_member);
  if (state && reached) {
    state->m_last_contact = now;
  }
  if (group.m_primary.m_member != connection.m_member) {
    return;
  }
  if (reached) {
    group.m_primary_failing_since.reset();
  } else if (!group.m_primary_failing_since) {
    group.m_primary_failing_since = now;
  }
}

void Engine::OnConnectionOpened(ConnectionId id,
                                const std::optional<LogPosition>&,
                                Time now) {
  Connection* connection = m_connections.Find(id);
  if (!connection) {
    return;
  }
  NoteReachability(*connection, true, now);
  connection->m_stage = Connection::Stage::kInUse;
  MemberState* state = m_members.Find(connection->m_member);
  if (state) {
    state->m_failures = 0;
  }
  if (connection->m_is_status_request) {
    SendStatus(connection, now);
    return;
  }
  Session* session =
      connection->m_session ? FindSession(*connection->m_session) : nullptr;
  if (!session || !session->m_active) {
    ReturnToPool(connection, now);
    return;
  }
  SendStatement(session, connection, now);
}

void Engine::RecordSample(Connection* connection,
                          const SentStatement& sent,
                          const Answer& answer,
                          Time now) {
  Group& group = GroupOf(connection->m_group);
  const bool is_primary = sent.m_to_primary &&
                          group.m_primary.m_member == connection->m_member &&
                          IsPrimaryUsable(group, now);
  const bool ran = std::holds_alternative<Completed>(answer.m_outcome) &&
                   sent.m_purpose == SentPurpose::kStatement;
  if (is_primary && ran && answer.m_position) {
    group.m_floor.Add({sent.m_sent, *answer.m_position}, now);
  }
}

void Engine::OnMemberAnswer(ConnectionId id, const Answer& answer, Time now) {
  Connection* connection = m_connections.Find(id);
  if (!connection) {
    return;
  }
  const std::optional<ExpectedAnswer> expected =
      connection->m_sent.empty()
          ? std::nullopt
          : std::optional(connection->m_sent.front().m_expected);
  const AnswerFit fit = CheckAnswer(answer, expected, connection->m_signatures);
  if (fit != AnswerFit::kFits) {
    RejectAnswer(connection, answer, fit, now);
    return;
  }
  const SentStatement sent = connection->m_sent.front();
  const GroupName group = connection->m_group;
  connection->m_sent.pop_front();
  NoteAnswer(connection, sent, answer);
  const bool failed = std::holds_alternative<Refused>(answer.m_outcome);
  if (failed && !sent.m_own_error) {
    OnDoubtfulError(connection, sent, answer, now);
  } else {
    HandleAnswer(connection, sent, answer, now);
  }
  // A slot of the member is free now, even if the connection is still in use.
  Dispatch(group, now);
}

// A repetition is ignored: the answer that belongs to the statement follows.
// After an answer that fits no statement it is unknown what the next one
// belongs to.
void Engine::RejectAnswer(Connection* connection,
                          const Answer& answer,
                          AnswerFit fit,
                          Time now) {
  m_hooks.m_unexpected_answer(DescribeUnexpected(*connection, answer, fit));
  if (fit != AnswerFit::kRepeated) {
    LoseConnection(connection, now);
  }
}

UnexpectedAnswer Engine::DescribeUnexpected(const Connection& connection,
                                            const Answer& answer,
                                            AnswerFit fit) {
  UnexpectedAnswer out;
  out.m_member = connection.m_member;
  out.m_connection = connection.m_id;
  out.m_answers_before = connection.m_answers;
  out.m_fit = fit;
  out.m_unanswered = connection.m_sent.size();
  const Session* session =
      connection.m_session ? FindSession(*connection.m_session) : nullptr;
  if (session && session->m_active) {
    out.m_statement_id = session->m_active->m_statement.m_id;
  }
  if (const auto* completed = std::get_if<Completed>(&answer.m_outcome)) {
    out.m_signature = completed->m_signature;
    out.m_rows = completed->m_rows.size();
  } else {
    out.m_error = std::get<Refused>(answer.m_outcome).m_code;
  }
  return out;
}

// Records an answer that fits its statement. After some answers, the connection
// is used by no other session: a repeated error, a repeated success of BEGIN or
// the repeated status of a member could not be told from the next answer of
// that kind.
void Engine::NoteAnswer(Connection* connection,
                        const SentStatement& sent,
                        const Answer& answer) {
  connection->m_answers += 1;
  const auto* completed = std::get_if<Completed>(&answer.m_outcome);
  const bool is_signed = completed && !completed->m_signature.empty();
  if (is_signed) {
    connection->m_signatures.Add(completed->m_signature);
  }
  connection->m_has_plain_answer |= completed && !is_signed;
  // A member answers in order, and no other answer can be taken for a signed
  // one or for that to the connection's only BEGIN.
  if (is_signed || (completed && sent.m_purpose == SentPurpose::kBegin)) {
    connection->m_may_await_values = false;
  }
  connection->m_is_retired |= !completed ||
                              sent.m_purpose == SentPurpose::kBegin ||
                              sent.m_purpose == SentPurpose::kCommand ||
                              connection->m_signatures.is_full();
}

void Engine::HandleAnswer(Connection* connection,
                          const SentStatement& sent,
                          const Answer& answer,
                          Time now) {
  NoteReachability(*connection, true, now);
  RecordSample(connection, sent, answer, now);
  connection->m_in_transaction = answer.m_state != TransactionState::kNone;
  const bool failed = std::holds_alternative<Refused>(answer.m_outcome);
  Session* session =
      connection->m_session ? FindSession(*connection->m_session) : nullptr;
  switch (sent.m_purpose) {
    case SentPurpose::kValue:
      OnValueAnswer(session, connection, answer, now);
      return;
    case SentPurpose::kPrepare:
      // What is sent behind a refused PREPARE does not run, and says so.
      if (failed && connection->m_in_transaction) {
        LoseConnection(connection, now);
      }
      return;
    case SentPurpose::kBarrier:
      OnBarrierAnswer(session, connection, failed, now);
      return;
    case SentPurpose::kCommand:
      OnStatusAnswer(connection, sent, answer, now);
      return;
    case SentPurpose::kBegin:
    case SentPurpose::kStatement:
      break;
  }
  if (!session || !session->m_active) {
    RecycleConnection(connection, now);
    return;
  }
  if (sent.m_purpose == SentPurpose::kBegin) {
    OnBeginAnswer(session, connection, answer, now);
    return;
  }
  OnStatementAnswer(session, connection, sent, answer, now);
}

// Continues with the active statement once all its session's values were
// answered.
void Engine::OnValueAnswer(Session* session,
                           Connection* connection,
                           const Answer& answer,
                           Time now) {
  const bool active = session && session->m_active;
  if (const auto* refused = std::get_if<Refused>(&answer.m_outcome)) {
    if (!active) {
      LoseConnection(connection, now);
      return;
    }
    connection->m_is_retired = true;
    if (!RetryNotRun(session, connection, refused->m_code, now)) {
      Refuse(session, ErrorCode::kBusy,
             "the member refused a value: " + refused->m_message, now);
    }
    return;
  }
  if (!connection->m_sent.empty()) {
    return;
  }
  if (!active) {
    RecycleConnection(connection, now);
    return;
  }
  if (MayStillServe(*session, *connection, now)) {
    SendStatement(session, connection, now);
    return;
  }
  Detach(session);
  RecycleConnection(connection, now);
  PlaceAfterDelay(session, Duration::zero(), now);
}

// Returns whether the member may still run the session's operation. It may have
// been taken out of use before the operation's first statement was sent.
bool Engine::MayStillServe(const Session& session,
                           const Connection& connection,
                           Time now) {
  if (session.m_transaction && session.m_transaction->m_begun) {
    return true;
  }
  const MemberState* state = m_members.Find(connection.m_member);
  const ActiveStatement& active = *session.m_active;
  return state &&
         MayServe(session, *state, active.m_needs_primary, active.m_floor, now);
}

// Finds out whether an error answers the statement in hand or a value that was
// sent before: sends a statement whose answer no other can be taken for. If
// another answer comes first, that is the statement's own, and it was run.
void Engine::OnDoubtfulError(Connection* connection,
                             const SentStatement& sent,
                             const Answer& answer,
                             Time now) {
  if (connection->m_in_transaction) {
    m_hooks.m_unexpected_answer(
        DescribeUnexpected(*connection, answer, AnswerFit::kUnfitting));
    LoseConnection(connection, now);
    return;
  }
  connection->m_doubted = DoubtedError{sent, answer};
  MemberStatement begin;
  begin.m_verb = MemberVerb::kBeginReadOnly;
  Send(connection, {begin}, SentPurpose::kBarrier, nullptr, now);
}

void Engine::OnBarrierAnswer(Session* session,
                             Connection* connection,
                             bool failed,
                             Time now) {
  const DoubtedError doubted =
      *std::exchange(connection->m_doubted, std::nullopt);
  if (failed) {
    m_hooks.m_unexpected_answer(DescribeUnexpected(
        *connection, doubted.m_answer, AnswerFit::kUnfitting));
    LoseConnection(connection, now);
    return;
  }
  if (!session || !session->m_active) {
    RecycleConnection(connection, now);
    return;
  }
  OnStatementAnswer(session, connection, doubted.m_sent, doubted.m_answer, now);
}

void Engine::OnStatusAnswer(Connection* connection,
                            const SentStatement& sent,
                            const Answer& answer,
                            Time now) {
  const MemberId member = connection->m_member;
  RecycleConnection(connection, now);
  const Completed* completed = std::get_if<Completed>(&answer.m_outcome);
  if (!completed || completed->m_rows.empty()) {
    return;
  }
  const std::optional<MemberStatus> status =
      m_hooks.m_read_status(completed->m_rows.front());
  if (status) {
    m_hooks.m_status(member, *status, sent.m_sent);
  }
}

void Engine::OnBeginAnswer(Session* session,
                           Connection* connection,
                           const Answer& answer,
                           Time now) {
  const Refused* refused = std::get_if<Refused>(&answer.m_outcome);
  if (!refused) {
    session->m_transaction->m_begun = true;
    connection->m_in_transaction = true;
    SendStatement(session, connection, now);
    return;
  }
  if (!RetryNotRun(session, connection, refused->m_code, now)) {
    Refuse(session, refused->m_code, refused->m_message, now);
  }
}

void Engine::OnStatementAnswer(Session* session,
                               Connection* connection,
                               const SentStatement& sent,
                               const Answer& answer,
                               Time now) {
  session->m_active->m_evidence.m_answered = answer.m_position;
  const Refused* refused = std::get_if<Refused>(&answer.m_outcome);
  if (refused) {
    OnRefused(session, connection, *refused, now);
    return;
  }
  const Duration turnaround = now - sent.m_sent;
  m_members.NoteAnswer(connection->m_member, turnaround, now);
  OnCompleted(session, connection, answer, now);
}

void Engine::OnCompleted(Session* session,
                         Connection* connection,
                         const Answer& answer,
                         Time now) {
  if (ApplyCompletion(session, answer, now)) {
    Detach(session);
    RecycleConnection(connection, now);
  }
  EndActiveStatement(session, answer.m_outcome, now);
}

bool Engine::ApplyCompletion(Session* session, const Answer& answer, Time now) {
  const bool commits =
      session->m_active->m_statement.m_kind == StatementKind::kCommit;
  const bool wrote =
      commits ? session->m_transaction->m_wrote : session->m_active->m_writes;
  const bool ends = commits || !session->m_transaction;
  if (ends && wrote && answer.m_position) {
    session->m_last_commit = FreshnessSample{now, *answer.m_position};
  }
  if (!ends) {
    session->m_transaction->m_answered_statements += 1;
    return false;
  }
  session->m_transaction.reset();
  return true;
}

bool Engine::RetryNotRun(Session* session,
                         Connection* connection,
                         ErrorCode code,
                         Time now) {
  const bool not_run =
      GuaranteesNoEffect(code) || code == ErrorCode::kUnknownStatement;
  if (!MayRestart(*session) || !not_run || code == ErrorCode::kAborted) {
    return false;
  }
  ActiveStatement& active = *session->m_active;
  Duration delay{0};
  const MemberId member = connection->m_member;
  if (code == ErrorCode::kLagging) {
    active.m_excluded_replicas.insert(member);
    if (active.m_floor) {
      m_members.NoteLagging(member, now - active.m_floor->m_sent, now);
    }
  } else if (code == ErrorCode::kReadOnly) {
    delay = kReadOnlyRetryDelay;
  } else if (code == ErrorCode::kBusy) {
    m_members.NoteBusy(member, now);
    delay = active.m_needs_primary ? kBusyRetryDelay : Duration::zero();
  }
  if (session->m_transaction) {
    session->m_transaction->m_begun = false;
    session->m_transaction->m_wrote = false;
  }
  Detach(session);
  if (code == ErrorCode::kUnknownStatement) {
    CloseConnection(connection, now);
  } else {
    RecycleConnection(connection, now);
  }
  PlaceAfterDelay(session, delay, now);
  return true;
}

void Engine::OnRefused(Session* session,
                       Connection* connection,
                       const Refused& refused,
                       Time now) {
  const bool commits =
      session->m_active->m_statement.m_kind == StatementKind::kCommit;
  if (!commits && RetryNotRun(session, connection, refused.m_code, now)) {
    return;
  }
  Refuse(session, refused.m_code, refused.m_message, now);
}

// Closes a connection in use. What is in flight on it ends as if it was lost.
void Engine::LoseConnection(Connection* connection, Time now) {
  const ConnectionId id = connection->m_id;
  m_hooks.m_close_connection(id);
  OnConnectionClosed(id, std::nullopt, now);
}

void Engine::OnConnectionClosed(ConnectionId id,
                                std::optional<ErrorCode> code,
                                Time now) {
  Connection* connection = m_connections.Find(id);
  if (!connection) {
    return;
  }
  const MemberId member = connection->m_member;
  const GroupName group = connection->m_group;
  const bool opening = connection->m_stage == Connection::Stage::kOpening;
  if (opening && code != ErrorCode::kConnectionLimit) {
    NoteReachability(*connection, code.has_value(), now);
  }
  if (opening) {
    m_members.NoteFailure(member, now);
  }
  Session* session =
      connection->m_session ? FindSession(*connection->m_session) : nullptr;
  RemoveConnection(connection);
  if (session) {
    session->m_connection.reset();
    if (session->m_active) {
      OnStatementLost(session, now);
    } else if (session->m_transaction) {
      session->m_transaction->m_failed = true;
      session->m_transaction->m_failed_unnoticed = true;
    }
  }
  Dispatch(group, now);
}

void Engine::OnStatementLost(Session* session, Time now) {
  ActiveStatement& active = *session->m_active;
  Connection* connection = ConnectionOf(*session);
  Detach(session);
  if (connection) {
    CloseConnection(connection, now);
  }
  CancelForward(session);
  const bool commits = active.m_statement.m_kind == StatementKind::kCommit;
  const bool overdue = now >= active.m_deadline;
  if (!session->m_transaction) {
    if (active.m_sent && active.m_writes) {
      Refuse(session, ErrorCode::kInDoubt, "the answer to a write was lost",
             now);
      return;
    }
    if (overdue) {
      Refuse(session, active.m_sent ? ErrorCode::kTimeout : ErrorCode::kBusy,
             "no answer in time", now);
      return;
    }
    StartAttempt(session, now);
    return;
  }
  OpenTransaction& transaction = *session->m_transaction;
  if (commits && active.m_sent && transaction.m_wrote) {
    session->m_transaction.reset();
    Refuse(session, ErrorCode::kInDoubt, "the answer to a commit was lost",
           now);
    return;
  }
  if (transaction.m_answered_statements == 0 && !overdue) {
    transaction.m_begun = false;
    transaction.m_wrote = false;
    StartAttempt(session, now);
    return;
  }
  Refuse(session, ErrorCode::kAborted, "the transaction was lost", now);
}

}  // namespace jasminelug::gateway
