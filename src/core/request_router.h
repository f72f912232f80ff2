#ifndef SRC_CORE_REQUEST_ROUTER_H_
#define SRC_CORE_REQUEST_ROUTER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/active_request.h"
#include "src/core/configuration.h"
#include "src/core/connection_pool.h"
#include "src/core/context.h"
#include "src/core/event.h"
#include "src/core/group_monitor.h"
#include "src/core/ids.h"
#include "src/core/key_authorizer.h"
#include "src/core/read_planner.h"
#include "src/core/request_queues.h"
#include "src/core/retry_policy.h"
#include "src/core/share_manager.h"
#include "src/core/transaction_table.h"

namespace jasminelug::core {

// The customer name of requests without a key, which are served under profiles
// that are open to all.
inline constexpr const char* kOpenCustomer = "open";

// Called when a request has taken credit from its customer's rate limit.
using AdmissionObserver =
    std::function<void(RequestHandle, const AllowanceKey&)>;

// Simplified behaviours that measurements use as baselines. All are off in
// production.
struct RouterBaselines {
  // Sends every read to the primary.
  bool m_primary_reads_only = false;
  // Refuses a request for the primary immediately if no primary is usable,
  // instead of queueing it.
  bool m_refuse_without_primary = false;
};

// Processes each request from its receipt to its answer. Each request gets
// exactly one answer, unless its caller has disconnected.
//
// A request is admitted (key, profile, database, credit), waits in a fair
// queue for a connection to a suitable member, and runs. If its answer depends
// on the primary's term, it then waits for confirmation by a majority of the
// group.
class RequestRouter {
 public:
  struct Hooks {
    std::function<KeyAuthorizer::Decision(const Secret&, const Context&)>
        m_authorize;
    std::function<std::optional<RefusalCode>(const Context&)> m_check_service;
    std::function<double(const ZoneName&, const Context&)> m_work_fraction;
    std::function<ConfigurationPtr()> m_configuration;
    // May be empty.
    AdmissionObserver m_on_admitted;
  };

  RequestRouter(InstanceId self,
                ZoneName zone,
                RouterBaselines baselines,
                Hooks hooks,
                ShareManager* shares,
                GroupMonitor* groups,
                ConnectionPool* pool);
  ~RequestRouter();

  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  void OnRequest(const RequestReceived& event, Context& context);
  void OnCallerGone(RequestHandle request, Context& context);
  void OnStatementFinished(const StatementFinished& event, Context& context);
  void OnConnectionLost(ConnectionId connection, Context& context);
  void OnConfiguration(const Configuration& configuration, Context& context);
  void OnSettled(const DatabaseName& database,
                 const SettledConfirmation& settled,
                 Context& context);
  void OnPrimaryChanged(const DatabaseName& database, Context& context);

  // Starts queued requests for which connections to `database` are available.
  void StartQueued(const DatabaseName& database, Context& context);

  void OnTick(Context& context);

  // Return the number of requests in progress and of open transactions.
  size_t ActiveCount() const { return m_requests.size(); }
  size_t OpenTransactions() const { return m_transactions.OpenCount(); }

  // Rolls back the transactions that callers have left open. Used at the end
  // of a shutdown.
  void AbortTransactions(Context& context);

 private:
  // What to do with a connection when its statement has finished but the
  // request no longer waits for it.
  enum class ConnectionCleanup { kRelease, kRollback };

  // A statement that runs on a connection.
  struct Running {
    // Unset once the request has been answered.
    std::optional<RequestHandle> m_request;
    ConnectionCleanup m_cleanup = ConnectionCleanup::kRelease;
    DatabaseName m_database;
    // When the connection is closed if the statement has not finished.
    Time m_stalled_after;
  };

  using Confirming =
      std::map<std::pair<DatabaseName, ConfirmationId>, RequestHandle>;

  // Admission.
  std::optional<Refusal> Admit(ActiveRequest* request, Context& context);
  std::optional<Refusal> AdmitToTransaction(ActiveRequest* request,
                                            Context& context);
  std::optional<Refusal> Authenticate(ActiveRequest* request, Context& context);
  std::optional<Refusal> CheckDatabase(const ActiveRequest& request,
                                       const Configuration& configuration);
  void TakeCredit(ActiveRequest* request, Context& context);
  void ServeCreditWaiters(Context& context);
  void OnCreditTaken(ActiveRequest* request, Context& context);

  // Routing.
  void Route(ActiveRequest* request, Context& context);
  void Enqueue(ActiveRequest* request, Context& context);
  void Delay(ActiveRequest* request, Duration delay, Context& context);
  void ResumeDelayed(Context& context);
  ReadRequirements RequirementsOf(const ActiveRequest& request) const;
  bool MayUsePrimary(const Group& group, const Context& context) const;
  void StartQueuedOnPrimary(Group* group, Context& context);
  void StartQueuedOnReplicas(Group* group, Context& context);
  void RefuseIfLeaving(const DatabaseName& database, Context& context);

  // Running.
  void Run(ActiveRequest* request, ConnectionId connection, Context& context);
  void RunInTransaction(ActiveRequest* request, Context& context);
  RunStatement StepOf(const ActiveRequest& request) const;
  void EndConnectionUse(const Running& running,
                        ConnectionId connection,
                        const StatementOutcome& outcome,
                        Context& context);

  // Outcomes.
  void OnDone(ActiveRequest* request,
              const StatementDone& done,
              Context& context);
  void OnReadDone(ActiveRequest* request,
                  const StatementDone& done,
                  Context& context);
  void OnTransactionStepDone(ActiveRequest* request,
                             const StatementDone& done,
                             Context& context);
  void OnBeginDone(ActiveRequest* request,
                   const StatementDone& done,
                   Context& context);
  void RollBackUnconfirmedBegin(ActiveRequest* request, Context& context);
  void AddTransaction(ActiveRequest* request, Context& context);
  void OnRejected(ActiveRequest* request,
                  const StatementRejected& rejected,
                  Context& context);
  void OnRejectedInTransaction(ActiveRequest* request,
                               const StatementRejected& rejected,
                               Context& context);
  void OnLost(ActiveRequest* request,
              const StatementLost& lost,
              Context& context);
  void ConfirmWrite(ActiveRequest* request, Context& context);
  void ConfirmRead(ActiveRequest* request, Time since, Context& context);
  void OnConfirmed(ActiveRequest* request, Context& context);
  void Retry(ActiveRequest* request, Context& context);

  // Answers.
  void AnswerServed(ActiveRequest* request, Context& context);
  void Refuse(ActiveRequest* request,
              RefusalCode code,
              std::string message,
              Context& context);
  void RefuseWith(ActiveRequest* request, Refusal refusal, Context& context);
  void Finish(ActiveRequest* request, Context& context);
  void Expire(ActiveRequest* request, Context& context);
  std::string TokenAfterUnknownOutcome(const ActiveRequest& request) const;

  void EndTransaction(Transaction* transaction,
                      std::string reason,
                      Context& context);
  void CloseStalledConnections(Context& context);
  ActiveRequest* Find(RequestHandle handle);
  ReadPlanner& PlannerOf(const DatabaseName& database);

  InstanceId m_self;
  ZoneName m_zone;
  RouterBaselines m_baselines;
  Hooks m_hooks;
  ShareManager* m_shares;
  GroupMonitor* m_groups;
  ConnectionPool* m_pool;
  ReadPlanner::Hooks m_planner_hooks;

  std::unordered_map<RequestHandle, std::unique_ptr<ActiveRequest>> m_requests;
  std::set<std::pair<Time, RequestHandle>> m_deadlines;
  std::set<std::pair<Time, RequestHandle>> m_delayed;
  std::map<AllowanceKey, std::deque<RequestHandle>> m_credit_waiters;
  std::unordered_map<DatabaseName, RequestQueues> m_queues;
  std::unordered_map<DatabaseName, ReadPlanner> m_planners;
  std::unordered_map<ConnectionId, Running> m_running;
  Confirming m_confirming;
  TransactionTable m_transactions;
  RetryPolicy m_retries;
  // When this instance learned of the zones that are out of service and the
  // databases that are leaving.
  std::map<ZoneName, Time> m_zones_out;
  std::map<DatabaseName, Time> m_leaving;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_REQUEST_ROUTER_H_
