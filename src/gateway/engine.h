#ifndef SRC_GATEWAY_ENGINE_H_
#define SRC_GATEWAY_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/gateway/admission.h"
#include "src/gateway/answer.h"
#include "src/gateway/configuration.h"
#include "src/gateway/connection_holders.h"
#include "src/gateway/connection_table.h"
#include "src/gateway/customer_limiter.h"
#include "src/gateway/engine_hooks.h"
#include "src/gateway/forward_table.h"
#include "src/gateway/forwarding.h"
#include "src/gateway/freshness_floor.h"
#include "src/gateway/locality/regions.h"
#include "src/gateway/locality/spill_control.h"
#include "src/gateway/member_table.h"
#include "src/gateway/placement.h"
#include "src/gateway/session.h"
#include "src/gateway/session_state_bytes.h"
#include "src/gateway/statement_queue.h"
#include "src/gateway/store_contact.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Identity of the engine's instance, and its time limits.
struct EngineOptions {
  friend bool operator==(const EngineOptions&, const EngineOptions&) = default;

  InstanceId m_self;
  // The run of this instance.
  Incarnation m_incarnation;
  ZoneName m_zone;
  Regions m_regions{};
  // Maximum time since the last contact that verified the keys. After a longer
  // time, requests with a key are refused, because the key may have been
  // withdrawn.
  Duration m_key_contact_limit = 4s;
  // Maximum time since the last contact that verified the primaries. After a
  // longer time, no primary is used, because it may have been replaced.
  Duration m_primary_contact_limit = 4200ms;
  // Time from the start of a shutdown after which open transactions are ended.
  Duration m_shutdown_transaction_limit = 3s;
  // Time from the start of a shutdown after which every statement has been
  // answered, so that the process may exit.
  Duration m_shutdown_statement_limit = 5500ms;
  // Maximum memory of the values and prepared statements of all sessions, in
  // bytes.
  std::size_t m_session_state_limit = std::size_t{20} << 20;
};

// The primary of a group, and whether this instance may use it.
struct PrimaryView {
  friend bool operator==(const PrimaryView&, const PrimaryView&) = default;

  std::optional<MemberId> m_member;
  // Whether the primary may be used: no replacement of it has begun.
  bool m_usable = false;
  // When a replacement is expected to be complete; unset if unknown.
  std::optional<Time> m_usable_from;
  // Revision of the replacement record from which this was decided.
  Revision m_record{};
};

// Serves callers' sessions from the members of database groups.
//
// Must be called by one thread only. Each call takes the current time, which
// must come from a clock that also advances while the machine is suspended. The
// engine does no I/O; it calls EngineHooks instead.
class Engine {
 public:
  Engine(EngineOptions options, EngineHooks hooks);

  // --- State read from the store. ---

  // Applies a configuration. It must not be older than the previous one.
  void SetConfiguration(std::shared_ptr<const Configuration> configuration,
                        Time now);
  void SetMembers(const std::vector<Member>& members, Time now);
  void SetEvacuatedZones(const std::set<ZoneName>& zones, Time now);
  // Sets the instances among which the members' connections are divided.
  void SetInstances(const std::vector<InstanceEntry>& instances, Time now);
  // Sets the primary of a group. Closes the connections to the previous primary
  // if the primary is a different member, or if it is not usable and `abandon`
  // is set. Statements in flight on these connections end as if the connections
  // had been lost. While a primary is not usable and not abandoned, the
  // transactions that are open there may end.
  void SetPrimary(const GroupName& group,
                  const PrimaryView& primary,
                  bool abandon,
                  Time now);
  // Return the records of the last contact with the store: the one that
  // verified the keys in the configuration, and the one that verified the
  // primaries.
  StoreContact& key_contact() { return m_key_contact; }
  StoreContact& primary_contact() { return m_primary_contact; }
  const StoreContact& key_contact() const { return m_key_contact; }
  const StoreContact& primary_contact() const { return m_primary_contact; }

  // --- Callers. ---

  // Opens a session. Returns the reason if it is refused; the engine then does
  // not know the session.
  std::optional<Refused> OnSessionStart(SessionId id,
                                        const DatabaseName& database,
                                        const CallerKey& key,
                                        Time now);
  void OnStatement(SessionId id, Statement statement, Time now);
  // Ends a session whose caller has disconnected.
  void OnSessionEnd(SessionId id, Time now);

  // --- Other instances. ---

  // Runs a statement for another instance, in the session that the caller of
  // this function has assigned to its operation. Calls EngineHooks::m_answer
  // with the answer, and m_close_session once the operation is over.
  // OnSessionEnd() ends the operation early.
  void OnForwardedStatement(SessionId id,
                            const ForwardedStatement& forwarded,
                            Time now);
  // Handles an answer of `holder` to an operation that was forwarded to it.
  void OnForwardAnswer(const InstanceId& holder,
                       const ForwardedAnswer& answer,
                       Time now);
  // Handles a report of `holder` about the operations that it is running.
  void OnForwardProgress(const InstanceId& holder,
                         const ForwardProgress& progress,
                         Time now);
  // Handles the loss or refusal of the connection to `holder`.
  void OnHolderLost(const InstanceId& holder, Time now);

  // --- Members. ---

  void OnConnectionOpened(ConnectionId id,
                          const std::optional<LogPosition>& position,
                          Time now);
  void OnMemberAnswer(ConnectionId id, const Answer& answer, Time now);
  // Handles the loss or refusal of a connection. `code` is the reason if the
  // member gave one.
  void OnConnectionClosed(ConnectionId id,
                          std::optional<ErrorCode> code,
                          Time now);

  // --- Time. ---

  // Ends statements, transactions and connections that have exceeded their time
  // limits, and places queued statements. Must be called every kTickInterval.
  void OnTick(Time now);
  static constexpr Duration kTickInterval = 20ms;

  // Begins a graceful shutdown, in which sessions are closed once they are
  // idle. Operations that would probably not end in time are refused, and
  // statements that are still running at the end get their final answers.
  void BeginShutdown(Time now);

  // --- Used by other components. ---

  const EngineOptions& options() const { return m_options; }
  CustomerLimiter& limiter() { return m_limiter; }
  MemberTable& members() { return m_members; }
  const ConnectionHolders& holders() const { return m_holders; }
  const Configuration* configuration() const { return m_configuration.get(); }
  std::size_t session_count() const { return m_sessions.size(); }
  std::size_t connection_count() const { return m_connections.size(); }
  // Returns whether the primary of `group` was set as usable.
  bool IsPrimaryUsable(const GroupName& group) const;
  // Returns whether no statement is in flight to the primary of `group`.
  bool IsPrimaryIdle(const GroupName& group) const;
  // Returns the newest sample of the primary's log, to be sent to other
  // instances.
  std::optional<FreshnessSample> NewestSample(const GroupName& group) const;
  // Adds a sample of the primary's log that another instance has taken.
  void AddSample(const GroupName& group,
                 const FreshnessSample& sample,
                 Time now);
  // Returns since when the group's primary has refused connections, or has
  // answered neither a statement nor the status request that probed it
  // afterwards. Returns nullopt while the primary answers or has nothing to
  // answer. The probe ensures that a single lost answer does not count as a
  // failure.
  std::optional<Time> PrimaryFailingSince(const GroupName& group,
                                          Time now) const;
  // Returns whether the group's primary has answered lately and is not failing.
  bool IsPrimaryResponsive(const GroupName& group, Time now) const;
  // Returns the primary that was set last, usable or not.
  std::optional<MemberId> PrimaryOf(const GroupName& group) const;
  // Returns which statements of the group leave the region; null if the group
  // is unknown.
  const SpillControl* SpillOf(const GroupName& group) const;
  // Requests the status of a member. Calls EngineHooks::m_status if a
  // connection is available and the member answers.
  void RequestStatus(const MemberId& member, Time now);

 private:
  struct Group {
    PrimaryView m_primary;
    FreshnessFloor m_floor;
    StatementQueue m_queue;
    // Placement intervals of all queued statements, and of those that were
    // placed on the primary.
    PlacementIntervalEstimator m_placement_interval;
    PlacementIntervalEstimator m_primary_placement_interval;
    std::optional<Time> m_primary_failing_since;
    SpillControl m_spill;
  };

  // Sessions (engine_sessions.cc).
  void StartStatement(Session* session, Statement statement, Time now);
  void ContinueSession(Session* session, Time now);
  void AnswerLocally(Session* session, const Statement& statement, Time now);
  template <typename Kept>
  bool Keep(Session* session,
            const std::string& name,
            const Kept& kept,
            std::map<std::string, Kept>* all);
  bool ReleasePrepared(Session* session, const std::string& name);
  void RefuseState(Session* session, Time now);
  void BeginTransaction(Session* session, const Statement& s, Time now);
  void RollBackTransaction(Session* session, Time now);
  void SubmitToMember(Session* session, Statement statement, Time now);
  std::optional<Refused> CheckCaller(const Session& session, Time now) const;
  std::optional<Refused> CheckShutdown(const Route& route,
                                       Duration limit,
                                       Time now) const;
  Time CapDeadline(Time deadline) const;
  void ApplyRoute(Session* session);
  std::optional<Refused> BeginOperation(Session* session, Time now);
  std::optional<Refused> AdmitLocally(Session* session, Time now);
  std::optional<Refused> CheckAdmission(const Session& session, Time now) const;
  std::optional<Refused> CheckQueuedStatement(const Session& session,
                                              Time now) const;
  bool IsForMember(const Session& session, const Statement& statement) const;
  bool WritesData(const Session& session, const Statement& statement) const;
  TransactionState StateOf(const Session& session) const;
  void FailTransaction(Session* session, Time now);
  void EndActiveStatement(Session* session, const Outcome& outcome, Time now);
  void Refuse(Session* session,
              ErrorCode code,
              const std::string& message,
              Time now);
  void Refuse(Session* session, const Refused& refused, Time now);
  void Reply(Session* session, const Outcome& outcome);

  // Operations that are forwarded to other instances or received from them
  // (engine_forwarding.cc).
  std::optional<InstanceId> ChooseHolder(const Session& session,
                                         Time now) const;
  void StartAttempt(Session* session, Time now);
  void SendForward(Session* session, Time now);
  void ForwardTo(Session* session, const InstanceId& holder, Time now);
  void RemoveForward(Session* session);
  void CancelForward(Session* session);
  void EndUnconfirmedForwards(Time now);
  void PingUnresponsiveHolders(Time now);
  static bool MayRestart(const Session& session);

  // Regions (engine_regions.cc).
  RegionName RegionFor(const Session& session) const;
  std::optional<PlacementOption> ChooseOption(Session* session, Time now);
  std::optional<PlacementOption> ChooseRegion(
      Session* session,
      const std::vector<PlacementOption>& options,
      Time now);
  void ReportSpill(const GroupName& group,
                   const SpillControl& spill,
                   int percent_before) const;
  std::optional<Duration> NearTimeOf(const Session& session,
                                     const std::optional<PlacementOption>& near,
                                     Time now) const;
  bool IsNear(const Member& member) const;

  // Placement (engine_dispatch.cc).
  void PlaceOrEnqueue(Session* session, Time now);
  void RemoveFromQueue(Session* session);
  void PlaceAfterDelay(Session* session, Duration delay, Time now);
  void Dispatch(const GroupName& group, Time now);
  bool TryPlace(Session* session, Time now);
  std::vector<PlacementOption> OptionsFor(Session* session, Time now);
  std::optional<PlacementOption> OptionAt(const Session& session,
                                          MemberState* state,
                                          bool is_primary,
                                          Time now);
  std::optional<FreshnessSample> FreshnessFloorOf(const Session& session,
                                                  Time now) const;
  bool IsPrimaryUsable(const Group& group, Time now) const;
  int BudgetOf(const MemberState& state) const;
  void DropExcessIdleConnections(Time now);
  int InFlightLimit(const MemberState& state) const;
  static QueuedStatement QueuedStatementOf(const Session& session);
  bool MayServe(const Session& session,
                const MemberState& state,
                bool needs_primary,
                const std::optional<FreshnessSample>& floor,
                Time now) const;
  // The members whose load is counted.
  enum class LoadScope { kAllRegions, kOwnRegion };
  QueueLoad QueueLoadFor(const Session& session,
                         const QueuedStatement& queued,
                         LoadScope scope,
                         Time now) const;
  void Place(Session* session, const PlacementOption& option, Time now);

  // Sending (engine_sending.cc).
  bool MaySendOn(const Connection& connection, Time now) const;
  void SendStatement(Session* session, Connection* connection, Time now);
  void SendBegin(Session* session, Connection* connection, Time now);
  StatementEvidence EvidenceFor(const Session& session,
                                const Connection& connection,
                                Time now) const;
  static std::vector<MemberStatement> TakeValuesFor(const Session& session,
                                                    Connection* connection);
  static std::vector<MemberStatement> TakePrepareFor(const Session& session,
                                                     Connection* connection);
  MemberStatement MemberStatementFor(const Session& session,
                                     const Connection& connection) const;
  void Send(Connection* connection,
            const std::vector<MemberStatement>& statements,
            SentPurpose last_purpose,
            const ActiveStatement* active,
            Time now);
  void SendStatus(Connection* connection, Time now);

  // Answers (engine_answers.cc).
  void RejectAnswer(Connection* connection,
                    const Answer& answer,
                    AnswerFit fit,
                    Time now);
  UnexpectedAnswer DescribeUnexpected(const Connection& connection,
                                      const Answer& answer,
                                      AnswerFit fit);
  static void NoteAnswer(Connection* connection,
                         const SentStatement& sent,
                         const Answer& answer);
  void HandleAnswer(Connection* connection,
                    const SentStatement& sent,
                    const Answer& answer,
                    Time now);
  void OnStatementAnswer(Session* session,
                         Connection* connection,
                         const SentStatement& sent,
                         const Answer& answer,
                         Time now);
  void OnCompleted(Session* session,
                   Connection* connection,
                   const Answer& answer,
                   Time now);
  // Updates the session after a completed statement. Returns whether the
  // operation is over.
  bool ApplyCompletion(Session* session, const Answer& answer, Time now);
  void OnRefused(Session* session,
                 Connection* connection,
                 const Refused& refused,
                 Time now);
  void OnValueAnswer(Session* session,
                     Connection* connection,
                     const Answer& answer,
                     Time now);
  bool MayStillServe(const Session& session,
                     const Connection& connection,
                     Time now);
  void OnDoubtfulError(Connection* connection,
                       const SentStatement& sent,
                       const Answer& answer,
                       Time now);
  void OnBarrierAnswer(Session* session,
                       Connection* connection,
                       bool failed,
                       Time now);
  void OnBeginAnswer(Session* session,
                     Connection* connection,
                     const Answer& answer,
                     Time now);
  bool RetryNotRun(Session* session,
                   Connection* connection,
                   ErrorCode code,
                   Time now);
  void OnStatementLost(Session* session, Time now);
  void LoseConnection(Connection* connection, Time now);
  void RecordSample(Connection* connection,
                    const SentStatement& sent,
                    const Answer& answer,
                    Time now);
  // Releases a connection that no session uses any more. Depending on its
  // state, it is closed or returned to the pool.
  void RecycleConnection(Connection* connection, Time now);
  void ReturnToPool(Connection* connection, Time now);
  void Detach(Session* session);
  void CloseConnection(Connection* connection, Time now);
  void RemoveConnection(Connection* connection);
  void NoteReachability(const Connection& connection, bool reached, Time now);

  void OnStatusAnswer(Connection* connection,
                      const SentStatement& sent,
                      const Answer& answer,
                      Time now);

  // Time (engine.cc).
  void EndOverdue(Session* session, Time now);
  void EndOverdueStatement(Session* session, Time now);
  void EndOverdueTransaction(Session* session, Time now);
  void ProbeUnresponsivePrimary(const Group& group, Time now);
  void AbandonStatements(const MemberId& member, Time now);
  void AbandonUnverifiedPrimary(const Group& group, Time now);
  void CloseIdleSession(Session* session, Time now);
  void EndOverdueConnection(Connection* connection, Time now);
  bool ShouldRetrySpeculatively(const Session& session, Time now) const;
  std::optional<Refused> CheckPrimary(const Session& session, Time now) const;
  bool NeedsPrimary(const Session& session, Time now) const;
  static bool NeedsPrimaryByKind(const Session& session);

  Session* FindSession(SessionId id);
  // Returns the connection that the session uses, or null.
  Connection* ConnectionOf(const Session& session);
  Group& GroupOf(const GroupName& name) { return m_groups[name]; }
  const Group* FindGroup(const GroupName& name) const;

  const EngineOptions m_options;
  const EngineHooks m_hooks;
  std::shared_ptr<const Configuration> m_configuration;
  StoreContact m_key_contact;
  StoreContact m_primary_contact;
  CustomerLimiter m_limiter;
  MemberTable m_members;
  ConnectionTable m_connections;
  ConnectionHolders m_holders;
  ForwardTable m_forwards;
  std::map<GroupName, Group> m_groups;
  std::unordered_map<std::uint64_t, std::unique_ptr<Session>> m_sessions;
  SessionStateBytes m_session_state;
  std::optional<Time> m_shutdown_since;
  // Number of idle sessions that may still be closed in this tick.
  std::size_t m_session_closes_left = 0;
  // Number of reads that may still be retried speculatively. Each statement
  // adds a fraction, so that retries stay a bounded part of the load.
  double m_speculative_retry_budget = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_ENGINE_H_
