// The part of RequestRouter that handles the outcomes of statements and answers
// requests.

#include <utility>

#include "src/common/assert.h"
#include "src/core/request_router.h"

namespace jasminelug::core {

void RequestRouter::OnDone(ActiveRequest* request,
                           const StatementDone& done,
                           Context& context) {
  request->m_done = done;
  request->m_may_have_run = true;
  if (request->m_purpose != RequestPurpose::kServe) {
    m_pool->Release(request->m_connection, context);
    if (done.m_role == MemberRole::kPrimary) {
      ConfirmWrite(request, context);
    } else {
      Retry(request, context);
    }
    return;
  }
  if (request->m_body.m_operation == Operation::kBegin) {
    OnBeginDone(request, done, context);
  } else if (request->IsInTransaction()) {
    OnTransactionStepDone(request, done, context);
  } else {
    m_pool->Release(request->m_connection, context);
    if (request->m_body.m_read_only) {
      OnReadDone(request, done, context);
    } else {
      ConfirmWrite(request, context);
    }
  }
}

void RequestRouter::OnReadDone(ActiveRequest* request,
                               const StatementDone& done,
                               Context& context) {
  const Group* group = m_groups->Find(request->m_body.m_database);
  const MemberView* member =
      group == nullptr ? nullptr : group->view().Find(request->m_member);
  if (member == nullptr) {
    Refuse(request, RefusalCode::kUnknownDatabase,
           "the database is no longer configured", context);
    return;
  }
  ReadRequirements requirements = RequirementsOf(*request);
  if (done.m_role == MemberRole::kReplica) {
    const bool are_met =
        !requirements.m_must_be_current &&
        ReadPlanner::AreMet(requirements, *member, done.m_position,
                            request->m_sent, context.Now());
    if (are_met) {
      AnswerServed(request, context);
    } else {
      Retry(request, context);
    }
    return;
  }
  if (done.m_position < requirements.m_position) {
    // The member is a primary that was replaced before the session's last
    // write.
    Retry(request, context);
    return;
  }
  const bool is_session_read =
      request->m_profile.m_consistency == Consistency::kSession &&
      !request->IsTokenUncertain();
  if (is_session_read) {
    AnswerServed(request, context);
    return;
  }
  // For data of a limited age, it is sufficient that the member was still the
  // primary that long ago.
  const Time since =
      request->IsTokenUncertain()
          ? request->m_received
          : request->m_received -
                requirements.m_max_age.value_or(Duration::zero());
  ConfirmRead(request, since, context);
}

void RequestRouter::OnTransactionStepDone(ActiveRequest* request,
                                          const StatementDone& /*done*/,
                                          Context& context) {
  const TransactionId id = request->m_body.m_transaction;
  Transaction* transaction = m_transactions.Find(id);
  JASMINELUG_ASSERT(transaction->m_connection == request->m_connection,
                    A_TRANSACTION_KEEPS_ITS_CONNECTION);
  if (request->m_body.m_operation == Operation::kStatement) {
    transaction->m_state = TransactionState::kIdle;
    transaction->m_last_used = context.Now();
    AnswerServed(request, context);
    return;
  }
  m_transactions.Remove(id);
  m_pool->Release(request->m_connection, context);
  const bool is_write_commit =
      request->m_body.m_operation == Operation::kCommit &&
      !request->m_body.m_read_only;
  if (is_write_commit) {
    ConfirmWrite(request, context);
  } else {
    AnswerServed(request, context);
  }
}

// Handles the begin of an explicit transaction. A transaction must see the
// writes of its session: if it began at a primary that does not have them, it
// is rolled back and started again.
void RequestRouter::OnBeginDone(ActiveRequest* request,
                                const StatementDone& done,
                                Context& context) {
  const SessionMark mark = request->m_token.MarkOf(request->m_body.m_database);
  if (done.m_position < mark.m_position) {
    RollBackUnconfirmedBegin(request, context);
    Retry(request, context);
    return;
  }
  if (request->IsTokenUncertain()) {
    ConfirmRead(request, request->m_received, context);
    return;
  }
  AddTransaction(request, context);
}

void RequestRouter::RollBackUnconfirmedBegin(ActiveRequest* request,
                                             Context& context) {
  EndConnectionUse(Running{std::nullopt, ConnectionCleanup::kRollback,
                           request->m_body.m_database, Time::max()},
                   request->m_connection, StatementDone{}, context);
}

void RequestRouter::AddTransaction(ActiveRequest* request, Context& context) {
  if (m_pool->MemberOf(request->m_connection) == nullptr) {
    // The connection ended while the primary was being confirmed.
    Retry(request, context);
    return;
  }
  Transaction transaction;
  transaction.m_allowance = request->m_allowance;
  transaction.m_database = request->m_body.m_database;
  transaction.m_profile = request->m_profile;
  transaction.m_member = request->m_member;
  transaction.m_connection = request->m_connection;
  transaction.m_read_only = request->m_body.m_read_only;
  const Transaction& added =
      m_transactions.Add(std::move(transaction), context);
  if (request->m_is_abandoned) {
    EndTransaction(m_transactions.Find(added.m_id), "its caller has gone",
                   context);
    Finish(request, context);
    return;
  }
  request->m_body.m_transaction = added.m_id;
  AnswerServed(request, context);
}

void RequestRouter::OnRejected(ActiveRequest* request,
                               const StatementRejected& rejected,
                               Context& context) {
  if (request->IsInTransaction() &&
      request->m_purpose == RequestPurpose::kServe) {
    OnRejectedInTransaction(request, rejected, context);
    return;
  }
  m_pool->Release(request->m_connection, context);
  switch (rejected.m_kind) {
    case RejectionKind::kNotPrimary:
      Retry(request, context);
      return;
    case RejectionKind::kDuplicateRequest:
      // The earlier write with this id is in the log, at or before the position
      // that the primary returns for the next read.
      request->m_purpose = RequestPurpose::kConfirmEarlier;
      request->m_may_have_run = true;
      Route(request, context);
      return;
    case RejectionKind::kStatement:
      Refuse(request, RefusalCode::kRejectedByDatabase,
             rejected.m_sqlstate + ": " + rejected.m_message, context);
      return;
  }
}

// Rolls the whole transaction back after a rejected statement, whether or not
// the database has already done so itself.
void RequestRouter::OnRejectedInTransaction(ActiveRequest* request,
                                            const StatementRejected& rejected,
                                            Context& context) {
  Transaction* transaction = m_transactions.Find(request->m_body.m_transaction);
  EndTransaction(transaction, "a statement was rejected", context);
  if (rejected.m_kind == RejectionKind::kDuplicateRequest) {
    request->m_purpose = RequestPurpose::kConfirmEarlier;
    request->m_may_have_run = true;
    Route(request, context);
    return;
  }
  const bool is_statement = rejected.m_kind == RejectionKind::kStatement;
  Refuse(request,
         is_statement ? RefusalCode::kRejectedByDatabase
                      : RefusalCode::kTransactionAborted,
         rejected.m_sqlstate + ": " + rejected.m_message +
             "; the transaction was rolled back",
         context);
}

void RequestRouter::OnLost(ActiveRequest* request,
                           const StatementLost& lost,
                           Context& context) {
  const bool is_commit = request->m_body.m_operation == Operation::kCommit;
  if (request->m_purpose == RequestPurpose::kServe &&
      request->IsInTransaction()) {
    Transaction* transaction =
        m_transactions.Find(request->m_body.m_transaction);
    m_transactions.Abort(transaction, "its connection was lost", context);
    const bool is_unknown =
        is_commit && lost.m_sent && !request->m_body.m_read_only;
    if (!is_unknown) {
      Refuse(request, RefusalCode::kTransactionAborted,
             "the connection was lost and the transaction rolled back",
             context);
    } else if (request->m_body.m_request_id.empty()) {
      Refuse(request, RefusalCode::kOutcomeUnknown,
             "the connection was lost during the commit", context);
    } else {
      request->m_may_have_run = true;
      request->m_purpose = RequestPurpose::kFenceCommit;
      Retry(request, context);
    }
    return;
  }
  const bool may_retry = request->m_body.m_read_only || !lost.m_sent ||
                         request->m_body.m_operation == Operation::kBegin ||
                         request->m_body.m_idempotent ||
                         !request->m_body.m_request_id.empty();
  request->m_may_have_run |= lost.m_sent;
  if (may_retry) {
    Retry(request, context);
  } else {
    Refuse(request, RefusalCode::kOutcomeUnknown,
           "the connection was lost while the statement ran", context);
  }
}

void RequestRouter::ConfirmWrite(ActiveRequest* request, Context& context) {
  Group* group = m_groups->Find(request->m_body.m_database);
  request->m_may_have_run = true;
  if (group == nullptr) {
    Refuse(request, RefusalCode::kOutcomeUnknown,
           "the database is no longer configured", context);
    return;
  }
  request->m_stage = RequestStage::kConfirming;
  request->m_confirmation =
      group->ConfirmWrite(request->m_done->m_position, context);
  m_confirming.emplace(
      std::pair(request->m_body.m_database, request->m_confirmation),
      request->m_handle);
}

void RequestRouter::ConfirmRead(ActiveRequest* request,
                                Time since,
                                Context& context) {
  Group* group = m_groups->Find(request->m_body.m_database);
  const Term term = request->m_done->m_position.m_term;
  if (group->view().HasMajorityAtTerm(term, since)) {
    OnConfirmed(request, context);
    return;
  }
  request->m_stage = RequestStage::kConfirming;
  request->m_confirmation = group->ConfirmRead(term, since, context);
  m_confirming.emplace(
      std::pair(request->m_body.m_database, request->m_confirmation),
      request->m_handle);
}

void RequestRouter::OnSettled(const DatabaseName& database,
                              const SettledConfirmation& settled,
                              Context& context) {
  const auto found = m_confirming.find({database, settled.m_id});
  if (found == m_confirming.end()) {
    return;
  }
  ActiveRequest* request = Find(found->second);
  m_confirming.erase(found);
  request->m_confirmation = ConfirmationId();
  if (settled.m_result == Confirmation::kConfirmed) {
    OnConfirmed(request, context);
    return;
  }
  if (settled.m_result == Confirmation::kLost) {
    request->m_may_have_run = false;
  }
  if (request->m_body.m_operation == Operation::kBegin) {
    RollBackUnconfirmedBegin(request, context);
    Retry(request, context);
    return;
  }
  const bool is_read = request->IsSingleRead();
  const bool is_lost_commit =
      request->m_body.m_operation == Operation::kCommit &&
      request->m_purpose == RequestPurpose::kServe;
  const bool may_retry = is_read || !request->m_may_have_run ||
                         request->m_body.m_idempotent ||
                         !request->m_body.m_request_id.empty();
  if (is_lost_commit && !request->m_may_have_run) {
    Refuse(request, RefusalCode::kTransactionAborted,
           "the primary was replaced and the transaction is not in its log",
           context);
  } else if (is_lost_commit && !request->m_body.m_request_id.empty()) {
    request->m_purpose = RequestPurpose::kFenceCommit;
    Retry(request, context);
  } else if (may_retry && !is_lost_commit) {
    if (request->m_purpose == RequestPurpose::kConfirmEarlier &&
        request->m_body.m_operation == Operation::kStatement) {
      request->m_purpose = RequestPurpose::kServe;
    }
    Retry(request, context);
  } else {
    Refuse(request, RefusalCode::kOutcomeUnknown,
           "the primary was replaced before a majority held the write",
           context);
  }
}

void RequestRouter::OnConfirmed(ActiveRequest* request, Context& context) {
  if (request->m_purpose == RequestPurpose::kFenceCommit) {
    // The request id was not in the table of requests, and now it is, so the
    // commit did not take effect and never can.
    request->m_may_have_run = false;
    Refuse(request, RefusalCode::kTransactionAborted,
           "the connection was lost before the transaction was committed",
           context);
    return;
  }
  if (request->m_body.m_operation == Operation::kBegin) {
    AddTransaction(request, context);
    return;
  }
  AnswerServed(request, context);
}

void RequestRouter::Retry(ActiveRequest* request, Context& context) {
  request->m_replica.reset();
  request->m_done.reset();
  const Duration delay = RetryPolicy::DelayOf(request->m_attempts, context);
  const bool is_first_retry = request->m_attempts <= 1;
  if (!is_first_retry && !m_retries.TryRetry()) {
    Refuse(request,
           request->m_may_have_run ? RefusalCode::kOutcomeUnknown
                                   : RefusalCode::kUnavailable,
           "the database does not answer, and too many requests are repeated",
           context);
    return;
  }
  if (is_first_retry) {
    Route(request, context);
  } else {
    Delay(request, delay, context);
  }
}

void RequestRouter::AnswerServed(ActiveRequest* request, Context& context) {
  const CallerRequest& body = request->m_body;
  Served served;
  SessionToken token = request->m_token;
  if (body.m_sequence) {
    token = token.WithSequence(*body.m_sequence);
  }
  const bool is_write =
      !body.m_read_only && (body.m_operation == Operation::kCommit ||
                            (body.m_operation == Operation::kStatement &&
                             body.m_transaction.empty()));
  const bool is_position_current =
      request->IsSingleRead() && request->IsTokenUncertain();
  if (is_write || is_position_current) {
    token = token.WithPosition(body.m_database, request->m_done->m_position);
  }
  served.m_session = token.Format();
  served.m_replayed = request->m_purpose == RequestPurpose::kConfirmEarlier;
  if (!served.m_replayed) {
    served.m_columns = std::move(request->m_done->m_columns);
    served.m_rows = std::move(request->m_done->m_rows);
    served.m_affected = request->m_done->m_affected;
  }
  served.m_transaction = body.m_transaction;
  served.m_instance = m_self;
  served.m_member = request->m_member;
  served.m_role = request->m_done->m_role;
  if (!request->m_is_abandoned) {
    if (!body.m_request_id.empty()) {
      TimelineEvent event;
      event.m_kind = TimelineKind::kRequestAnswered;
      event.m_request = request->m_handle;
      event.m_request_id = body.m_request_id;
      event.m_customer = request->m_allowance.m_customer;
      event.m_database = body.m_database;
      event.m_term = request->m_done->m_position.m_term;
      context.Record(std::move(event));
    }
    context.Emit(AnswerRequest{request->m_handle, std::move(served)});
  }
  Finish(request, context);
}

void RequestRouter::Refuse(ActiveRequest* request,
                           RefusalCode code,
                           std::string message,
                           Context& context) {
  Refusal refusal;
  refusal.m_code = code;
  const bool is_unknown =
      code == RefusalCode::kOutcomeUnknown || request->m_may_have_run;
  refusal.m_effect = is_unknown ? Effect::kUnknown : Effect::kNotRun;
  refusal.m_message = std::move(message);
  if (code == RefusalCode::kRateExceeded) {
    refusal.m_retry_after = m_shares->RetryAfter(request->m_allowance, context);
  }
  RefuseWith(request, std::move(refusal), context);
}

void RequestRouter::RefuseWith(ActiveRequest* request,
                               Refusal refusal,
                               Context& context) {
  const CallerRequest& body = request->m_body;
  if (refusal.m_effect == Effect::kUnknown) {
    refusal.m_session = TokenAfterUnknownOutcome(*request);
  }
  TimelineEvent event;
  event.m_kind = TimelineKind::kRequestRefused;
  event.m_request = request->m_handle;
  event.m_request_id = body.m_request_id;
  event.m_customer = request->m_allowance.m_customer;
  event.m_database = body.m_database;
  event.m_detail = ToString(refusal.m_code);
  context.Record(std::move(event));
  if (!request->m_is_abandoned) {
    context.Emit(AnswerRequest{request->m_handle, std::move(refusal)});
  }
  Finish(request, context);
}

// Cancels what the request waits for and deletes the request. A statement that
// runs for it continues.
void RequestRouter::Finish(ActiveRequest* request, Context& context) {
  const DatabaseName& database = request->m_body.m_database;
  m_deadlines.erase({request->m_deadline, request->m_handle});
  if (request->m_stage == RequestStage::kQueued) {
    m_queues[database].Remove(*request);
  }
  if (request->m_stage == RequestStage::kDelayed) {
    m_delayed.erase({request->m_resume_at, request->m_handle});
  }
  if (request->m_stage == RequestStage::kConfirming &&
      request->m_body.m_operation == Operation::kBegin &&
      request->m_confirmation != ConfirmationId()) {
    RollBackUnconfirmedBegin(request, context);
  }
  if (request->m_confirmation != ConfirmationId()) {
    m_confirming.erase({database, request->m_confirmation});
    if (Group* group = m_groups->Find(database)) {
      group->CancelConfirmation(request->m_confirmation);
    }
  }
  const size_t erased = m_requests.erase(request->m_handle);
  JASMINELUG_ASSERT(erased == 1, A_REQUEST_IS_ANSWERED_ONCE);
}

std::string RequestRouter::TokenAfterUnknownOutcome(
    const ActiveRequest& request) const {
  SessionToken token =
      request.m_token.WithUncertainty(request.m_body.m_database);
  if (request.m_body.m_sequence) {
    token = token.WithSequence(*request.m_body.m_sequence);
  }
  return token.Format();
}

}  // namespace jasminelug::core
