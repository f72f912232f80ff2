// Part of Engine that forwards operations to the holders of connections, and
// runs operations that other instances have forwarded.

#include <algorithm>
#include <utility>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {
namespace {

// Time by which the holder's deadline precedes the sender's, so that the answer
// arrives before the sender gives up.
constexpr Duration kForwardMargin = 20ms;
// Maximum size of a forwarded statement and of what it needs. The instance that
// received a larger one runs it itself, because a message between instances
// holds at most 1 MiB.
constexpr std::size_t kMaxForwardedBytes = std::size_t{256} << 10;

TransactionMode ModeOf(const std::optional<OpenTransaction>& transaction) {
  if (!transaction) {
    return TransactionMode::kNone;
  }
  return transaction->m_read_only ? TransactionMode::kReadOnly
                                  : TransactionMode::kReadWrite;
}

// Returns the size of the active statement, of the session's values and of the
// prepared statement that it executes.
std::size_t ForwardedBytesOf(const Session& session) {
  const Statement& statement = session.m_active->m_statement;
  std::size_t size = statement.m_text.size();
  for (const auto& [name, value] : session.m_values) {
    size += name.size() + value.size();
  }
  const auto prepared = session.m_prepared.find(statement.m_name);
  if (prepared != session.m_prepared.end()) {
    size += prepared->second.m_shape.size();
  }
  return size;
}

}  // namespace

std::optional<InstanceId> Engine::ChooseHolder(const Session& session,
                                               Time now) const {
  if (session.m_is_forwarded) {
    return std::nullopt;
  }
  const std::optional<ActiveStatement>& active = session.m_active;
  if (active && (ForwardedBytesOf(session) > kMaxForwardedBytes ||
                 active->m_deadline - now <= kForwardMargin)) {
    return std::nullopt;
  }
  const auto is_usable = [&](const InstanceId& holder) {
    if (holder == m_options.m_self && m_shutdown_since) {
      return false;
    }
    if (holder == m_options.m_self) {
      const std::optional<Refused> refused = CheckPrimary(session, now);
      return !refused || !refused->m_try_elsewhere;
    }
    const bool tried = active && active->m_tried_holders.contains(holder);
    return !tried && m_forwards.IsUsable(holder, now);
  };
  return m_holders.Choose(session.m_route.m_group, session.m_customer,
                          RegionFor(session), is_usable);
}

// Starts the active statement, or restarts it after a lost attempt: forwards it
// to a holder or, if there is none to use, admits and places it here.
void Engine::StartAttempt(Session* session, Time now) {
  const std::optional<InstanceId> holder = ChooseHolder(*session, now);
  if (holder) {
    ForwardTo(session, *holder, now);
    return;
  }
  const bool was_forwarded = !session->m_active->m_tried_holders.empty();
  const std::optional<Refused> refused =
      was_forwarded || !session->m_is_admitted ? AdmitLocally(session, now)
                                               : std::nullopt;
  if (refused) {
    Refuse(session, *refused, now);
    return;
  }
  PlaceAfterDelay(session, Duration::zero(), now);
}

void Engine::ForwardTo(Session* session, const InstanceId& holder, Time now) {
  session->m_remote = {m_forwards.Add(session->m_id, holder), holder};
  session->m_active->m_attempts += 1;
  session->m_active->m_tried_holders.insert(holder);
  SendForward(session, now);
}

void Engine::SendForward(Session* session, Time now) {
  ActiveStatement& active = *session->m_active;
  std::optional<OpenTransaction>& transaction = session->m_transaction;
  ForwardedStatement forwarded;
  forwarded.m_operation = session->m_remote->m_operation;
  forwarded.m_starts_operation = !transaction || !transaction->m_begun;
  forwarded.m_transaction = ModeOf(transaction);
  forwarded.m_customer = session->m_customer;
  forwarded.m_route = session->m_route;
  forwarded.m_route.m_statement_timeout =
      active.m_deadline - now - kForwardMargin;
  forwarded.m_route.m_objective =
      std::max(active.m_objective_at - now, Duration::zero());
  forwarded.m_statement = active.m_statement;
  if (active.m_statement.m_kind == StatementKind::kExecute) {
    forwarded.m_statement.m_prepared =
        session->m_prepared.at(active.m_statement.m_name);
    // The holder needs only the name and the argument.
    forwarded.m_statement.m_text.clear();
  }
  forwarded.m_values = session->m_values;
  if (session->m_last_commit) {
    forwarded.m_last_commit = {now - session->m_last_commit->m_sent,
                               session->m_last_commit->m_position};
  }
  active.m_sent = true;
  active.m_holder = session->m_remote->m_holder;
  if (transaction) {
    transaction->m_begun = true;
    transaction->m_wrote |= active.m_writes;
  }
  forwarded.m_number = m_forwards.NoteSent(forwarded.m_operation, now);
  m_hooks.m_forward(active.m_holder, forwarded);
}

// Removes a forwarded operation without notifying its holder, which has already
// ended it.
void Engine::RemoveForward(Session* session) {
  m_forwards.Remove(session->m_remote->m_operation);
  session->m_remote.reset();
}

void Engine::CancelForward(Session* session) {
  if (!session->m_remote) {
    return;
  }
  const RemoteOperation remote = *session->m_remote;
  RemoveForward(session);
  m_hooks.m_forward(remote.m_holder, ForwardedEnd{remote.m_operation});
}

bool Engine::MayRestart(const Session& session) {
  return !session.m_transaction ||
         session.m_transaction->m_answered_statements == 0;
}

void Engine::OnForwardAnswer(const InstanceId& holder,
                             const ForwardedAnswer& answer,
                             Time now) {
  m_forwards.NoteResponsive(holder);
  const Forward* forward = m_forwards.Find(answer.m_operation);
  if (!forward || !forward->Expects(holder, answer)) {
    return;  // The operation was given up, or the answer is a repetition.
  }
  m_forwards.NoteAnswered(answer.m_operation);
  Session* session = FindSession(forward->m_session);
  if (!session || !session->m_active || !session->m_remote) {
    return;
  }
  const Outcome& outcome = answer.m_answer.m_outcome;
  const Refused* refused = std::get_if<Refused>(&outcome);
  if (!refused) {
    if (ApplyCompletion(session, answer.m_answer, now)) {
      RemoveForward(session);
    }
    EndActiveStatement(session, outcome, now);
    return;
  }
  if (!refused->m_try_elsewhere || !MayRestart(*session)) {
    if (!session->m_transaction) {
      RemoveForward(session);
    }
    Refuse(session, *refused, now);
    return;
  }
  m_forwards.NoteRefused(holder, now);
  CancelForward(session);
  if (session->m_transaction) {
    session->m_transaction->m_begun = false;
    session->m_transaction->m_wrote = false;
  }
  StartAttempt(session, now);
}

void Engine::OnForwardProgress(const InstanceId& holder,
                               const ForwardProgress& progress,
                               Time now) {
  m_forwards.NoteResponsive(holder);
  m_forwards.NoteProgress(holder, progress, now);
}

void Engine::OnHolderLost(const InstanceId& holder, Time now) {
  m_forwards.NoteLost(holder, now);
  EndUnconfirmedForwards(now);
}

void Engine::EndUnconfirmedForwards(Time now) {
  for (const OperationId id : m_forwards.TakeUnconfirmed(now)) {
    const Forward* forward = m_forwards.Find(id);
    Session* session = forward ? FindSession(forward->m_session) : nullptr;
    if (session && session->m_active) {
      OnStatementLost(session, now);
    }
  }
}

void Engine::PingUnresponsiveHolders(Time now) {
  for (const InstanceId& holder : m_forwards.TakeDuePings(now)) {
    m_hooks.m_forward(holder, ForwardPing{});
  }
}

void Engine::OnForwardedStatement(SessionId id,
                                  const ForwardedStatement& forwarded,
                                  Time now) {
  Session* session = FindSession(id);
  if (!session) {
    auto added = std::make_unique<Session>();
    session = added.get();
    session->m_id = id;
    session->m_is_forwarded = true;
    session->m_last_activity = now;
    m_sessions.emplace(id.value(), std::move(added));
  }
  if (forwarded.m_starts_operation && (m_shutdown_since || !m_configuration)) {
    Reply(session, Refused{ErrorCode::kBusy, "the instance is not serving",
                           /*m_try_elsewhere=*/true});
    return;
  }
  if (!forwarded.m_starts_operation && !session->m_transaction) {
    // The transaction was ended after being idle for too long, and its session
    // closes on the next tick. The member has rolled the transaction back.
    Reply(session, Refused{ErrorCode::kAborted, "the transaction was ended"});
    return;
  }
  session->m_customer = forwarded.m_customer;
  session->m_route = forwarded.m_route;
  session->m_values = forwarded.m_values;
  if (forwarded.m_last_commit) {
    session->m_last_commit =
        FreshnessSample{now - forwarded.m_last_commit->m_age,
                        forwarded.m_last_commit->m_position};
  }
  const Statement& statement = forwarded.m_statement;
  if (statement.m_kind == StatementKind::kExecute) {
    session->m_prepared[statement.m_name] = statement.m_prepared;
  }
  if (forwarded.m_starts_operation &&
      forwarded.m_transaction != TransactionMode::kNone) {
    OpenTransaction transaction;
    transaction.m_read_only =
        forwarded.m_transaction == TransactionMode::kReadOnly;
    transaction.m_last_activity = now;
    session->m_transaction = transaction;
    const std::optional<Refused> refused = BeginOperation(session, now);
    if (refused) {
      session->m_transaction.reset();
      Reply(session, *refused);
      return;
    }
  }
  OnStatement(id, statement, now);
}

}  // namespace jasminelug::gateway
