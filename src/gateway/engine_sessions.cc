// Part of Engine that handles sessions: it answers some statements itself, and
// checks the others before they go to a member.

#include <algorithm>
#include <utility>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {
namespace {

// Maximum number of statements of a session that wait for the active one.
constexpr std::size_t kMaxQueuedStatements = 64;
// Time for which a primary may refuse connections or not respond before
// statements that need it are refused.
constexpr Duration kMaxPrimaryFailureTime = 100ms;
// Divisor of the objective that yields the tolerated lateness of a queued
// statement. The statement is refused only if its answer is expected to be
// later than that, because a slightly late answer is better than a refusal
// after a wait.
constexpr int kLatenessDivisor = 2;
// Number of speculative retries that each statement adds to the budget, and
// maximum of the budget.
constexpr double kSpeculativeRetriesPerStatement = 0.05;
constexpr double kMaxSpeculativeRetryBudget = 10;
// Memory of a value or a prepared statement beside its texts.
constexpr std::size_t kStateOverheadBytes = 128;

std::size_t StateBytes(const std::string& name, const std::string& content) {
  return name.size() + content.size() + kStateOverheadBytes;
}

std::size_t StateBytes(const std::string& name, const PreparedShape& shape) {
  return StateBytes(name, shape.m_shape);
}

}  // namespace

std::optional<Refused> Engine::OnSessionStart(SessionId id,
                                              const DatabaseName& database,
                                              const CallerKey& key,
                                              Time now) {
  auto session = std::make_unique<Session>();
  session->m_id = id;
  session->m_database = database;
  session->m_key = key;
  session->m_last_activity = now;
  std::optional<Refused> refused = CheckCaller(*session, now);
  if (refused) {
    return refused;
  }
  m_sessions.emplace(id.value(), std::move(session));
  return std::nullopt;
}

std::optional<Refused> Engine::CheckCaller(const Session& session,
                                           Time now) const {
  if (session.m_is_forwarded) {
    return std::nullopt;
  }
  if (!m_configuration) {
    return Refused{ErrorCode::kBusy, "no configuration yet"};
  }
  const auto route = m_configuration->m_routes.find(session.m_database);
  const bool is_public =
      route != m_configuration->m_routes.end() && route->second.m_public;
  if (!is_public &&
      !m_key_contact.IsFresh(now, m_options.m_key_contact_limit)) {
    return Refused{ErrorCode::kBusy, "keys cannot be checked at present"};
  }
  if (route == m_configuration->m_routes.end()) {
    return Refused{ErrorCode::kUnknownDatabase, "no such database"};
  }
  if (!is_public && !m_configuration->m_keys.contains(session.m_key)) {
    return Refused{ErrorCode::kUnauthorized, "unknown key"};
  }
  return CheckShutdown(route->second, m_options.m_shutdown_statement_limit,
                       now);
}

// Returns a refusal if an operation that begins now would probably not end
// within `limit` of the shutdown's start. The objective is the time within
// which admitted operations are expected to end.
std::optional<Refused> Engine::CheckShutdown(const Route& route,
                                             Duration limit,
                                             Time now) const {
  if (m_shutdown_since && now + route.m_objective > *m_shutdown_since + limit) {
    return Refused{ErrorCode::kBusy, "this instance is stopping"};
  }
  return std::nullopt;
}

// Returns the deadline of a statement, which is no later than the end of a
// shutdown.
Time Engine::CapDeadline(Time deadline) const {
  if (!m_shutdown_since) {
    return deadline;
  }
  return std::min(deadline,
                  *m_shutdown_since + m_options.m_shutdown_statement_limit);
}

void Engine::ApplyRoute(Session* session) {
  if (session->m_is_forwarded) {
    return;  // The route came with the forwarded statement.
  }
  session->m_route = m_configuration->m_routes.at(session->m_database);
  const auto key = m_configuration->m_keys.find(session->m_key);
  session->m_customer =
      key == m_configuration->m_keys.end() ? CustomerName() : key->second;
}

std::optional<Refused> Engine::BeginOperation(Session* session, Time now) {
  session->m_is_admitted = false;
  if (ChooseHolder(*session, now)) {
    return std::nullopt;  // The holder decides on the admission.
  }
  return AdmitLocally(session, now);
}

std::optional<Refused> Engine::AdmitLocally(Session* session, Time now) {
  std::optional<Refused> refused = CheckAdmission(*session, now);
  if (refused || session->m_is_admitted) {
    return refused;
  }
  if (!session->m_customer.empty() &&
      !m_limiter.Take(session->m_customer, now)) {
    return Refused{ErrorCode::kBusy, m_limiter.Describe(session->m_customer)};
  }
  session->m_is_admitted = true;
  return std::nullopt;
}

std::optional<Refused> Engine::CheckAdmission(const Session& session,
                                              Time now) const {
  std::optional<Refused> refused = CheckPrimary(session, now);
  if (refused) {
    return refused;
  }
  if (m_holders.BudgetFor(session.m_route.m_group) == 0) {
    return Refused{ErrorCode::kBusy, "no holder of connections is reached"};
  }
  const Duration objective = session.m_route.m_objective;
  const QueuedStatement queued{session.m_route.m_priority, now + objective,
                               session.m_id, NeedsPrimary(session, now)};
  if (!MayWait(QueueLoadFor(session, queued, LoadScope::kAllRegions, now),
               objective)) {
    return Refused{ErrorCode::kBusy, "members are at capacity"};
  }
  return std::nullopt;
}

// Returns a refusal if a queued statement, which more urgent ones may have
// overtaken, can no longer be answered close to its objective. The caller then
// learns it at once.
std::optional<Refused> Engine::CheckQueuedStatement(const Session& session,
                                                    Time now) const {
  std::optional<Refused> refused = CheckPrimary(session, now);
  if (refused) {
    return refused;
  }
  const Time limit = session.m_active->m_objective_at +
                     session.m_route.m_objective / kLatenessDivisor;
  if (!MayWait(QueueLoadFor(session, QueuedStatementOf(session),
                            LoadScope::kAllRegions, now),
               limit - now)) {
    return Refused{ErrorCode::kBusy, "members are at capacity, after a wait"};
  }
  return std::nullopt;
}

// Returns a refusal if the session needs the primary and cannot have it in
// time, because the primary is lost or this instance is cut off from it. If a
// replacement is expected to be complete before the deadline, the statement
// waits for it. Otherwise it is refused at once, so that the caller can try
// another instance.
std::optional<Refused> Engine::CheckPrimary(const Session& session,
                                            Time now) const {
  const Group* group = FindGroup(session.m_route.m_group);
  if (!group || !NeedsPrimary(session, now)) {
    return std::nullopt;
  }
  if (IsPrimaryUsable(*group, now)) {
    const std::optional<Time> failing =
        PrimaryFailingSince(session.m_route.m_group, now);
    if (failing && now - *failing > kMaxPrimaryFailureTime) {
      return Refused{ErrorCode::kBusy, "the primary cannot be reached",
                     /*m_try_elsewhere=*/true};
    }
    return std::nullopt;
  }
  const std::optional<Time>& usable_from = group->m_primary.m_usable_from;
  const Time limit = session.m_active
                         ? session.m_active->m_deadline
                         : now + session.m_route.m_statement_timeout;
  if (!usable_from || *usable_from < now || *usable_from > limit) {
    // Another instance may have read a primary record that this one has not.
    return Refused{ErrorCode::kBusy, "there is no primary at present",
                   /*m_try_elsewhere=*/true};
  }
  return std::nullopt;
}

bool Engine::NeedsPrimary(const Session& session, Time now) const {
  return NeedsPrimaryByKind(session) || !FreshnessFloorOf(session, now);
}

// Returns whether only the primary may run the session's statement or
// transaction, regardless of which positions are known.
bool Engine::NeedsPrimaryByKind(const Session& session) {
  if (session.m_active) {
    return session.m_active->m_needs_primary;
  }
  const bool reads_only =
      session.m_transaction && session.m_transaction->m_read_only;
  return session.m_route.m_consistency == Consistency::kPrimary || !reads_only;
}

TransactionState Engine::StateOf(const Session& session) const {
  if (!session.m_transaction) {
    return TransactionState::kNone;
  }
  return session.m_transaction->m_failed ? TransactionState::kFailed
                                         : TransactionState::kOpen;
}

void Engine::OnStatement(SessionId id, Statement statement, Time now) {
  Session* session = FindSession(id);
  if (!session) {
    return;
  }
  if (session->m_active || !session->m_pending_statements.empty()) {
    if (session->m_pending_statements.size() >= kMaxQueuedStatements) {
      OnSessionEnd(id, now);
      m_hooks.m_close_session(id);
      return;
    }
    session->m_pending_statements.push_back(std::move(statement));
    return;
  }
  StartStatement(session, std::move(statement), now);
}

void Engine::ContinueSession(Session* session, Time now) {
  const SessionId id = session->m_id;
  while (session && !session->m_active &&
         !session->m_pending_statements.empty()) {
    Statement statement = std::move(session->m_pending_statements.front());
    session->m_pending_statements.pop_front();
    StartStatement(session, std::move(statement), now);
    session = FindSession(id);
  }
}

void Engine::StartStatement(Session* session, Statement statement, Time now) {
  session->m_last_activity = now;
  const StatementKind kind = statement.m_kind;
  const bool failed = StateOf(*session) == TransactionState::kFailed;
  const bool ends =
      kind == StatementKind::kCommit || kind == StatementKind::kRollback;
  if (failed && !ends) {
    const bool unnoticed =
        std::exchange(session->m_transaction->m_failed_unnoticed, false);
    Reply(session,
          Refused{unnoticed ? ErrorCode::kAborted : ErrorCode::kMalformed,
                  "the transaction failed"});
    return;
  }
  if (failed) {
    session->m_transaction.reset();
    if (kind == StatementKind::kRollback) {
      Reply(session, Completed{});
      return;
    }
    Reply(session, Refused{ErrorCode::kAborted, "the transaction failed"});
    return;
  }
  if (IsForMember(*session, statement)) {
    SubmitToMember(session, std::move(statement), now);
    return;
  }
  AnswerLocally(session, statement, now);
}

bool Engine::IsForMember(const Session& session,
                         const Statement& statement) const {
  switch (statement.m_kind) {
    case StatementKind::kRead:
    case StatementKind::kWrite:
      return true;
    case StatementKind::kExecute:
      return session.m_prepared.contains(statement.m_name);
    case StatementKind::kCommit:
      return session.m_transaction.has_value();
    default:
      return false;
  }
}

bool Engine::WritesData(const Session& session,
                        const Statement& statement) const {
  if (statement.m_kind == StatementKind::kWrite) {
    return true;
  }
  if (statement.m_kind != StatementKind::kExecute) {
    return false;
  }
  const auto prepared = session.m_prepared.find(statement.m_name);
  return prepared != session.m_prepared.end() &&
         prepared->second.m_access == Access::kWrite;
}

void Engine::AnswerLocally(Session* session,
                           const Statement& statement,
                           Time now) {
  switch (statement.m_kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      BeginTransaction(session, statement, now);
      return;
    case StatementKind::kRollback:
      RollBackTransaction(session, now);
      return;
    case StatementKind::kSetValue:
      if (!Keep(session, statement.m_name, statement.m_argument,
                &session->m_values)) {
        RefuseState(session, now);
        return;
      }
      break;
    case StatementKind::kPrepare:
      if (!Keep(session, statement.m_name, statement.m_prepared,
                &session->m_prepared)) {
        RefuseState(session, now);
        return;
      }
      break;
    case StatementKind::kRelease:
      if (!ReleasePrepared(session, statement.m_name)) {
        Reply(session, Refused{ErrorCode::kUnknownStatement, statement.m_name});
        return;
      }
      break;
    case StatementKind::kExecute:
      if (session->m_transaction) {
        FailTransaction(session, now);
      }
      Reply(session, Refused{ErrorCode::kUnknownStatement, statement.m_name});
      return;
    default:
      if (session->m_transaction) {
        FailTransaction(session, now);
      }
      Reply(session, Refused{ErrorCode::kMalformed,
                             "the statement cannot be parsed or is too long"});
      return;
  }
  if (session->m_transaction) {
    session->m_transaction->m_last_activity = now;
  }
  Reply(session, Completed{});
}

// Keeps the value that a statement sets, or the prepared statement that it
// defines. Returns false if the session holds too much.
template <typename Kept>
bool Engine::Keep(Session* session,
                  const std::string& name,
                  const Kept& kept,
                  std::map<std::string, Kept>* all) {
  const auto before = all->find(name);
  const std::size_t removed =
      before == all->end() ? 0 : StateBytes(name, before->second);
  if (!m_session_state.Replace(session->m_id, removed,
                               StateBytes(name, kept))) {
    return false;
  }
  (*all)[name] = kept;
  return true;
}

// Returns false if there is no prepared statement of that name.
bool Engine::ReleasePrepared(Session* session, const std::string& name) {
  const auto found = session->m_prepared.find(name);
  if (found == session->m_prepared.end()) {
    return false;
  }
  m_session_state.Replace(session->m_id, StateBytes(name, found->second), 0);
  session->m_prepared.erase(found);
  return true;
}

// Refuses a value or a prepared statement because too much is kept. The refusal
// promises that nothing of the caller's attempt is kept, so an open transaction
// fails.
void Engine::RefuseState(Session* session, Time now) {
  if (session->m_transaction) {
    FailTransaction(session, now);
  }
  Reply(session, Refused{ErrorCode::kBusy, "too many session values"});
}

void Engine::BeginTransaction(Session* session,
                              const Statement& statement,
                              Time now) {
  if (session->m_transaction) {
    FailTransaction(session, now);
    Reply(session, Refused{ErrorCode::kMalformed, "already in a transaction"});
    return;
  }
  std::optional<Refused> refused = CheckCaller(*session, now);
  if (!refused) {
    OpenTransaction transaction;
    transaction.m_read_only = statement.m_kind == StatementKind::kBeginReadOnly;
    transaction.m_last_activity = now;
    session->m_transaction = transaction;
    ApplyRoute(session);
    refused = CheckShutdown(session->m_route,
                            m_options.m_shutdown_transaction_limit, now);
  }
  if (!refused) {
    refused = BeginOperation(session, now);
  }
  if (refused) {
    session->m_transaction.reset();
    Reply(session, *refused);
    return;
  }
  Reply(session, Completed{});
}

void Engine::RollBackTransaction(Session* session, Time now) {
  if (!session->m_transaction) {
    Reply(session, Refused{ErrorCode::kMalformed, "not in a transaction"});
    return;
  }
  session->m_transaction.reset();
  CancelForward(session);
  Connection* connection = ConnectionOf(*session);
  Detach(session);
  if (connection) {
    RecycleConnection(connection, now);
  }
  Reply(session, Completed{});
}

void Engine::SubmitToMember(Session* session, Statement statement, Time now) {
  m_speculative_retry_budget =
      std::min(m_speculative_retry_budget + kSpeculativeRetriesPerStatement,
               kMaxSpeculativeRetryBudget);
  ActiveStatement active;
  active.m_received = now;
  active.m_writes = WritesData(*session, statement);
  active.m_statement = std::move(statement);
  std::optional<Refused> refused = CheckCaller(*session, now);
  if (!refused && !session->m_transaction) {
    ApplyRoute(session);
  }
  const Route& route = session->m_route;
  const bool read_write_transaction =
      session->m_transaction && !session->m_transaction->m_read_only;
  active.m_needs_primary = active.m_writes || read_write_transaction ||
                           route.m_consistency == Consistency::kPrimary;
  active.m_objective_at = now + route.m_objective;
  active.m_deadline = CapDeadline(now + route.m_statement_timeout);
  session->m_active = std::move(active);
  if (!refused && !session->m_transaction) {
    refused = BeginOperation(session, now);
  }
  if (refused) {
    Refuse(session, *refused, now);
    return;
  }
  if (session->m_remote) {
    SendForward(session, now);
    return;
  }
  Connection* connection = ConnectionOf(*session);
  if (connection) {
    SendStatement(session, connection, now);
    return;
  }
  if (session->m_transaction && session->m_transaction->m_begun) {
    Refuse(session, ErrorCode::kAborted, "the transaction was lost", now);
    return;
  }
  StartAttempt(session, now);
}

void Engine::FailTransaction(Session* session, Time now) {
  session->m_transaction->m_failed = true;
  CancelForward(session);
  Connection* connection = ConnectionOf(*session);
  Detach(session);
  if (connection) {
    RecycleConnection(connection, now);
  }
}

void Engine::Refuse(Session* session,
                    ErrorCode code,
                    const std::string& message,
                    Time now) {
  Refuse(session, Refused{code, message}, now);
}

void Engine::Refuse(Session* session, const Refused& refused, Time now) {
  RemoveFromQueue(session);
  CancelForward(session);
  Connection* connection = ConnectionOf(*session);
  Detach(session);
  if (connection) {
    RecycleConnection(connection, now);
  }
  if (session->m_transaction) {
    FailTransaction(session, now);
    const bool ended =
        session->m_active &&
        session->m_active->m_statement.m_kind == StatementKind::kCommit;
    if (ended) {
      session->m_transaction.reset();
    }
  }
  EndActiveStatement(session, refused, now);
}

void Engine::EndActiveStatement(Session* session,
                                const Outcome& outcome,
                                Time now) {
  StatementSummary end;
  const ActiveStatement& active = *session->m_active;
  end.m_statement_id = active.m_statement.m_id;
  end.m_database = session->m_database;
  end.m_customer = session->m_customer;
  end.m_attempts = active.m_attempts;
  end.m_time = now - active.m_received;
  end.m_objective = session->m_route.m_objective;
  end.m_member = active.m_member;
  end.m_evidence = active.m_evidence;
  end.m_holder = active.m_holder;
  const Refused* refused = std::get_if<Refused>(&outcome);
  end.m_completed = refused == nullptr;
  if (refused) {
    end.m_code = refused->m_code;
    end.m_reason = refused->m_message;
  }
  session->m_active.reset();
  session->m_last_activity = now;
  if (session->m_transaction) {
    session->m_transaction->m_last_activity = now;
  }
  m_hooks.m_report(end);
  Reply(session, outcome);
  ContinueSession(session, now);
}

void Engine::Reply(Session* session, const Outcome& outcome) {
  Answer answer;
  answer.m_outcome = outcome;
  answer.m_state = StateOf(*session);
  if (session->m_is_forwarded && session->m_last_commit) {
    answer.m_position = session->m_last_commit->m_position;
  }
  m_hooks.m_answer(session->m_id, answer);
}

void Engine::OnSessionEnd(SessionId id, Time now) {
  Session* session = FindSession(id);
  if (!session) {
    return;
  }
  RemoveFromQueue(session);
  CancelForward(session);
  Connection* connection = ConnectionOf(*session);
  Detach(session);
  // Answers that are still outstanding are discarded; OnMemberAnswer() then
  // releases the connection.
  if (connection && connection->m_sent.empty()) {
    RecycleConnection(connection, now);
  }
  m_session_state.Remove(id);
  m_sessions.erase(id.value());
}

}  // namespace jasminelug::gateway
