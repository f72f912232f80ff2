#include "src/core/request_router.h"

#include <algorithm>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

// Maximum number of requests of one customer that may be queued for one
// database at this instance.
constexpr size_t kMaxQueuedPerCustomer = 1000;

// Time after this instance learned that a zone or a database is leaving during
// which the primary in that zone still gets new work, and queued requests to
// that database are still served.
constexpr Duration kLeavingGracePeriod = 2s;

// Time after which a connection is closed if the statement on it has not
// finished and its request has already been answered.
constexpr Duration kStalledStatementTimeout = 2s;

bool IsConnectionLost(const StatementOutcome& outcome) {
  return std::holds_alternative<StatementLost>(outcome);
}

}  // namespace

RequestRouter::RequestRouter(InstanceId self,
                             ZoneName zone,
                             RouterBaselines baselines,
                             Hooks hooks,
                             ShareManager* shares,
                             GroupMonitor* groups,
                             ConnectionPool* pool)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_baselines(baselines),
      m_hooks(std::move(hooks)),
      m_shares(shares),
      m_groups(groups),
      m_pool(pool),
      m_transactions(m_self) {
  m_planner_hooks.m_work_fraction = m_hooks.m_work_fraction;
  m_planner_hooks.m_load = [this](const DatabaseName& database,
                                  const MemberId& member) {
    return m_queues[database].SizeOf(member);
  };
  m_planner_hooks.m_has_connection = [this](const DatabaseName& database,
                                            const MemberId& member) {
    return m_pool->HasConnection(database, member);
  };
}

RequestRouter::~RequestRouter() = default;

void RequestRouter::OnCallerGone(RequestHandle handle, Context& context) {
  ActiveRequest* request = Find(handle);
  if (request == nullptr) {
    return;
  }
  request->m_is_abandoned = true;
  const bool has_started = request->m_stage == RequestStage::kRunning ||
                           request->m_stage == RequestStage::kConfirming;
  if (!has_started) {
    Finish(request, context);
  }
}

void RequestRouter::OnConfiguration(const Configuration& configuration,
                                    Context& context) {
  std::map<ZoneName, Time> zones_out;
  for (const auto& [name, zone] : configuration.m_zones) {
    if (zone.m_out) {
      const auto known = m_zones_out.find(name);
      zones_out.emplace(
          name, known == m_zones_out.end() ? context.Now() : known->second);
    }
  }
  m_zones_out = std::move(zones_out);
  std::map<DatabaseName, Time> leaving;
  for (const auto& [name, database] : configuration.m_databases) {
    if (database.m_leaving) {
      const auto known = m_leaving.find(name);
      leaving.emplace(name,
                      known == m_leaving.end() ? context.Now() : known->second);
    }
  }
  m_leaving = std::move(leaving);
}

void RequestRouter::OnPrimaryChanged(const DatabaseName& database,
                                     Context& context) {
  StartQueued(database, context);
}

void RequestRouter::OnTick(Context& context) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= context.Now()) {
    Expire(Find(m_deadlines.begin()->second), context);
  }
  ServeCreditWaiters(context);
  ResumeDelayed(context);
  CloseStalledConnections(context);
  for (const TransactionId& id : m_transactions.Overdue(context.Now())) {
    EndTransaction(m_transactions.Find(id), "it was idle or open for too long",
                   context);
  }
  m_transactions.RemoveExpired(context.Now());
  std::vector<DatabaseName> databases;
  for (const auto& [database, queues] : m_queues) {
    databases.push_back(database);
  }
  for (const DatabaseName& database : databases) {
    RefuseIfLeaving(database, context);
    StartQueued(database, context);
  }
}

void RequestRouter::Route(ActiveRequest* request, Context& context) {
  request->m_replica.reset();
  Group* group = m_groups->Find(request->m_body.m_database);
  if (group == nullptr) {
    Refuse(request, RefusalCode::kUnknownDatabase,
           "the database is no longer configured", context);
    return;
  }
  if (request->IsSingleRead() && !m_baselines.m_primary_reads_only) {
    ReadRequirements requirements = RequirementsOf(*request);
    // A read that has failed at a replica goes to the primary next, not to
    // another replica.
    requirements.m_must_be_current |= request->m_attempts > 0;
    const ReadPlan plan = PlannerOf(request->m_body.m_database)
                              .Plan(group->view(), requirements, context);
    request->m_replica = plan.m_replica;
    if (plan.m_wait > Duration::zero()) {
      Delay(request, plan.m_wait, context);
      return;
    }
  }
  if (m_baselines.m_refuse_without_primary && !request->m_replica &&
      !MayUsePrimary(*group, context)) {
    Refuse(request, RefusalCode::kUnavailable, "no primary is known", context);
    return;
  }
  Enqueue(request, context);
}

void RequestRouter::Enqueue(ActiveRequest* request, Context& context) {
  const DatabaseName database = request->m_body.m_database;
  RequestQueues& queues = m_queues[database];
  if (queues.SizeOf(request->m_allowance.m_customer) >= kMaxQueuedPerCustomer) {
    Refuse(request, RefusalCode::kOverloaded,
           "too many requests of this customer wait for the database", context);
    return;
  }
  request->m_stage = RequestStage::kQueued;
  queues.Push(*request);
  StartQueued(database, context);
}

void RequestRouter::Delay(ActiveRequest* request,
                          Duration delay,
                          Context& context) {
  request->m_stage = RequestStage::kDelayed;
  request->m_resume_at = context.Now() + delay;
  m_delayed.emplace(request->m_resume_at, request->m_handle);
}

void RequestRouter::ResumeDelayed(Context& context) {
  while (!m_delayed.empty() && m_delayed.begin()->first <= context.Now()) {
    ActiveRequest* request = Find(m_delayed.begin()->second);
    m_delayed.erase(m_delayed.begin());
    if (request->m_replica) {
      // The replica was chosen together with the delay. The position in its
      // answer shows whether it has caught up in time.
      Enqueue(request, context);
    } else {
      Route(request, context);
    }
  }
}

ReadRequirements RequestRouter::RequirementsOf(
    const ActiveRequest& request) const {
  ReadRequirements requirements;
  requirements.m_position =
      request.m_token.MarkOf(request.m_body.m_database).m_position;
  requirements.m_must_be_current =
      request.m_profile.m_consistency == Consistency::kStrong ||
      request.IsTokenUncertain();
  if (request.m_profile.m_consistency == Consistency::kStale) {
    Duration age = request.m_profile.m_max_staleness;
    if (request.m_body.m_max_staleness) {
      age = std::min(age, *request.m_body.m_max_staleness);
    }
    requirements.m_max_age = age;
  }
  return requirements;
}

bool RequestRouter::MayUsePrimary(const Group& group,
                                  const Context& context) const {
  if (!group.IsPrimaryUsable()) {
    return false;
  }
  const auto out = m_zones_out.find(group.view().Primary()->m_zone);
  return out == m_zones_out.end() ||
         context.Now() - out->second < kLeavingGracePeriod;
}

void RequestRouter::StartQueued(const DatabaseName& database,
                                Context& context) {
  Group* group = m_groups->Find(database);
  if (group == nullptr || !m_queues.contains(database)) {
    return;
  }
  StartQueuedOnPrimary(group, context);
  StartQueuedOnReplicas(group, context);
}

void RequestRouter::StartQueuedOnPrimary(Group* group, Context& context) {
  const DatabaseName database = group->view().database().m_name;
  FairQueue& queue = m_queues[database].Primary();
  while (!queue.empty() && MayUsePrimary(*group, context)) {
    const std::optional<ConnectionId> connection =
        m_pool->Take(database, *group->view().Primary(), context);
    if (!connection) {
      return;
    }
    const std::optional<RequestHandle> next = queue.Pop();
    Run(Find(*next), *connection, context);
  }
}

void RequestRouter::StartQueuedOnReplicas(Group* group, Context& context) {
  const DatabaseName database = group->view().database().m_name;
  for (auto& [id, queue] : m_queues[database].Replicas()) {
    const MemberView* member = group->view().Find(id);
    const bool is_unfit = member == nullptr || member->m_failed ||
                          m_zones_out.contains(member->m_member.m_zone) ||
                          (group->view().Primary() != nullptr &&
                           group->view().Primary()->m_id == id);
    std::vector<RequestHandle> rerouted;
    while (!queue.empty()) {
      if (is_unfit) {
        rerouted.push_back(*queue.Pop());
        continue;
      }
      const std::optional<ConnectionId> connection =
          m_pool->Take(database, member->m_member, context);
      if (!connection) {
        break;
      }
      Run(Find(*queue.Pop()), *connection, context);
    }
    // These reads go to the primary. Planning them again could move them back
    // and forth between two unfit replicas.
    for (const RequestHandle handle : rerouted) {
      ActiveRequest* request = Find(handle);
      request->m_replica.reset();
      m_queues[database].Push(*request);
    }
  }
  StartQueuedOnPrimary(group, context);
}

void RequestRouter::RefuseIfLeaving(const DatabaseName& database,
                                    Context& context) {
  const auto leaving = m_leaving.find(database);
  if (leaving == m_leaving.end() ||
      context.Now() - leaving->second < kLeavingGracePeriod) {
    return;
  }
  std::vector<RequestHandle> queued;
  for (const auto& [handle, request] : m_requests) {
    const bool is_new_work =
        request->m_stage == RequestStage::kQueued ||
        request->m_stage == RequestStage::kDelayed ||
        request->m_stage == RequestStage::kWaitingForCredit;
    if (is_new_work && request->m_body.m_database == database &&
        !request->IsInTransaction()) {
      queued.push_back(handle);
    }
  }
  for (const RequestHandle handle : queued) {
    Refuse(Find(handle), RefusalCode::kDatabaseLeaving,
           "the database is leaving", context);
  }
}

void RequestRouter::Run(ActiveRequest* request,
                        ConnectionId connection,
                        Context& context) {
  request->m_stage = RequestStage::kRunning;
  request->m_connection = connection;
  request->m_sent = context.Now();
  request->m_member = m_pool->MemberOf(connection)->m_id;
  ++request->m_attempts;
  const RunStatement step = StepOf(*request);
  const bool is_free =
      m_running
          .emplace(connection,
                   Running{request->m_handle, ConnectionCleanup::kRelease,
                           request->m_body.m_database, Time::max()})
          .second;
  JASMINELUG_ASSERT(is_free, A_CONNECTION_RUNS_ONE_STATEMENT);
  context.Emit(step);
}

void RequestRouter::RunInTransaction(ActiveRequest* request, Context& context) {
  Transaction* transaction = m_transactions.Find(request->m_body.m_transaction);
  JASMINELUG_ASSERT(transaction->m_allowance == request->m_allowance,
                    A_TRANSACTION_SERVES_ITS_OWN_CUSTOMER);
  if (transaction->m_state != TransactionState::kIdle) {
    const bool is_aborted = transaction->m_state == TransactionState::kAborted;
    Refuse(request,
           is_aborted ? RefusalCode::kTransactionAborted
                      : RefusalCode::kInvalidRequest,
           is_aborted
               ? "the transaction was rolled back: " + transaction->m_reason
               : "the transaction still runs another statement",
           context);
    return;
  }
  transaction->m_state = TransactionState::kRunning;
  transaction->m_last_used = context.Now();
  request->m_body.m_database = transaction->m_database;
  request->m_body.m_read_only = transaction->m_read_only;
  Run(request, transaction->m_connection, context);
}

RunStatement RequestRouter::StepOf(const ActiveRequest& request) const {
  RunStatement step;
  step.m_connection = request.m_connection;
  step.m_customer = request.m_allowance.m_customer;
  step.m_read_only = request.m_body.m_read_only;
  if (request.m_purpose == RequestPurpose::kConfirmEarlier) {
    step.m_statement.m_sql = "SELECT 1";
    step.m_read_only = true;
    return step;
  }
  const bool is_write = !request.m_body.m_read_only;
  if (request.m_purpose == RequestPurpose::kFenceCommit) {
    step.m_request_id = request.m_body.m_request_id;
    return step;
  }
  switch (request.m_body.m_operation) {
    case Operation::kStatement:
      step.m_statement = request.m_body.m_statement;
      if (request.IsInTransaction()) {
        step.m_step = TransactionStep::kInTransaction;
      } else if (is_write) {
        step.m_request_id = request.m_body.m_request_id;
      }
      break;
    case Operation::kBegin:
      step.m_step = TransactionStep::kBegin;
      break;
    case Operation::kCommit:
      step.m_step = TransactionStep::kCommit;
      if (is_write) {
        step.m_request_id = request.m_body.m_request_id;
      }
      break;
    case Operation::kRollback:
      step.m_step = TransactionStep::kRollback;
      break;
  }
  return step;
}

void RequestRouter::OnStatementFinished(const StatementFinished& event,
                                        Context& context) {
  const auto found = m_running.find(event.m_connection);
  if (found == m_running.end()) {
    return;
  }
  const Running running = found->second;
  m_running.erase(found);
  std::optional<MemberId> member;
  if (const Member* known = m_pool->MemberOf(event.m_connection)) {
    member = known->m_id;
  }
  Group* group = m_groups->Find(running.m_database);
  const auto* done = std::get_if<StatementDone>(&event.m_outcome);
  if (done != nullptr && member && group != nullptr) {
    ReadPlanner& planner = PlannerOf(running.m_database);
    if (done->m_role == MemberRole::kPrimary) {
      planner.OnWritten(done->m_position.m_index, context.Now());
    } else {
      planner.OnApplied(*member, done->m_position.m_index, context.Now());
    }
    group->OnAnswer(*member, done->m_position, done->m_role, context);
  }
  const auto* rejected = std::get_if<StatementRejected>(&event.m_outcome);
  if (rejected != nullptr && member && group != nullptr &&
      rejected->m_kind == RejectionKind::kNotPrimary) {
    group->OnNotPrimary(*member, context);
  }
  ActiveRequest* request =
      running.m_request ? Find(*running.m_request) : nullptr;
  if (request == nullptr) {
    EndConnectionUse(running, event.m_connection, event.m_outcome, context);
    return;
  }
  if (done != nullptr) {
    OnDone(request, *done, context);
  } else if (rejected != nullptr) {
    OnRejected(request, *rejected, context);
  } else {
    OnLost(request, std::get<StatementLost>(event.m_outcome), context);
  }
}

void RequestRouter::EndConnectionUse(const Running& running,
                                     ConnectionId connection,
                                     const StatementOutcome& outcome,
                                     Context& context) {
  if (IsConnectionLost(outcome)) {
    return;
  }
  if (running.m_cleanup == ConnectionCleanup::kRelease) {
    m_pool->Release(connection, context);
    return;
  }
  RunStatement rollback;
  rollback.m_connection = connection;
  rollback.m_step = TransactionStep::kRollback;
  m_running.emplace(
      connection,
      Running{std::nullopt, ConnectionCleanup::kRelease, running.m_database,
              context.Now() + kStalledStatementTimeout});
  context.Emit(std::move(rollback));
}

// The statement and the transaction on a connection end with the connection.
void RequestRouter::OnConnectionLost(ConnectionId connection,
                                     Context& context) {
  if (const auto found = m_running.find(connection); found != m_running.end()) {
    const Running running = found->second;
    m_running.erase(found);
    if (running.m_request) {
      OnLost(Find(*running.m_request), StatementLost{}, context);
    }
  }
  Transaction* transaction = m_transactions.FindByConnection(connection);
  if (transaction != nullptr) {
    m_transactions.Abort(transaction, "its connection was lost", context);
  }
}

void RequestRouter::EndTransaction(Transaction* transaction,
                                   std::string reason,
                                   Context& context) {
  const ConnectionId connection = transaction->m_connection;
  const DatabaseName database = transaction->m_database;
  m_transactions.Abort(transaction, std::move(reason), context);
  EndConnectionUse(Running{std::nullopt, ConnectionCleanup::kRollback, database,
                           Time::max()},
                   connection, StatementDone{}, context);
}

void RequestRouter::AbortTransactions(Context& context) {
  std::vector<TransactionId> open;
  for (const TransactionId& id : m_transactions.Overdue(Time::max())) {
    open.push_back(id);
  }
  for (const TransactionId& id : open) {
    EndTransaction(m_transactions.Find(id), "the instance is shutting down",
                   context);
  }
}

void RequestRouter::CloseStalledConnections(Context& context) {
  std::vector<ConnectionId> stalled;
  for (const auto& [connection, running] : m_running) {
    if (running.m_stalled_after <= context.Now()) {
      stalled.push_back(connection);
    }
  }
  for (const ConnectionId connection : stalled) {
    m_running.erase(connection);
    m_pool->Discard(connection, context);
  }
}

ActiveRequest* RequestRouter::Find(RequestHandle handle) {
  const auto found = m_requests.find(handle);
  return found == m_requests.end() ? nullptr : found->second.get();
}

ReadPlanner& RequestRouter::PlannerOf(const DatabaseName& database) {
  return m_planners.try_emplace(database, m_zone, &m_planner_hooks)
      .first->second;
}

void RequestRouter::Expire(ActiveRequest* request, Context& context) {
  const bool has_started = request->m_stage == RequestStage::kRunning ||
                           request->m_stage == RequestStage::kConfirming;
  if (request->m_stage == RequestStage::kRunning) {
    // The statement continues to run after the request has been answered.
    Running& running = m_running.at(request->m_connection);
    running.m_request.reset();
    running.m_stalled_after = context.Now() + kStalledStatementTimeout;
    if (request->IsInTransaction() ||
        request->m_body.m_operation == Operation::kBegin) {
      Transaction* transaction =
          m_transactions.Find(request->m_body.m_transaction);
      if (transaction != nullptr) {
        m_transactions.Abort(transaction, "a statement passed its deadline",
                             context);
      }
      running.m_cleanup = ConnectionCleanup::kRollback;
    }
  }
  request->m_may_have_run |= has_started;
  if (request->m_stage == RequestStage::kWaitingForCredit) {
    Refuse(request, RefusalCode::kRateExceeded,
           "the customer's rate gave no credit before the deadline", context);
  } else if (request->m_may_have_run && !request->IsSingleRead()) {
    Refuse(request, RefusalCode::kOutcomeUnknown,
           "the deadline passed before the outcome was known", context);
  } else {
    Refuse(request, RefusalCode::kDeadlineExceeded,
           "the deadline passed before the request was served", context);
  }
}

}  // namespace jasminelug::core
