#ifndef SRC_GATEWAY_SESSION_H_
#define SRC_GATEWAY_SESSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "src/gateway/configuration.h"
#include "src/gateway/forwarding.h"
#include "src/gateway/freshness_floor.h"
#include "src/gateway/ids.h"
#include "src/gateway/statement.h"

namespace jasminelug::gateway {

// What the use of a member for a statement relied on when the statement was
// sent, and the member's answer to it. Shows afterwards why an outdated member
// was used.
struct StatementEvidence {
  friend bool operator==(const StatementEvidence&,
                         const StatementEvidence&) = default;

  // The connection on which the statement was sent, and the number of answers
  // that had been received on it before.
  ConnectionId m_connection;
  std::uint64_t m_answers_before = 0;
  // Whether the member was taken for the primary of its group.
  bool m_as_primary = false;
  // Revision of the replacement record that named the primary, and time since
  // the last contact that verified the record; unset if there was none.
  Revision m_record;
  std::optional<Duration> m_contact_age;
  // Log position that the member had to hold; unset at the primary.
  std::optional<LogPosition> m_required;
  // Log position in the member's answer.
  std::optional<LogPosition> m_answered;
};

// A caller's statement that is waiting for a member or for its answer.
struct ActiveStatement {
  Statement m_statement;
  Time m_received;
  // Time until which an answer meets the objective, and time at which the
  // statement is given up.
  Time m_objective_at;
  Time m_deadline;
  // Earliest time of the next placement; set between two attempts.
  Time m_not_before;
  int m_attempts = 0;
  // The member that the statement was last placed on.
  MemberId m_member;
  bool m_needs_primary = true;
  bool m_writes = false;
  // Whether the statement is in the queue of its group.
  bool m_waiting = false;
  // Whether the statement itself was sent, and not just the statements that
  // prepare the connection for it.
  bool m_sent = false;
  // Whether the session's values were sent, which precede the statement.
  bool m_values_sent = false;
  // When the statement was last placed.
  Time m_placed;
  // Set when the statement was last sent to a member.
  StatementEvidence m_evidence{};
  // Number of attempts that were replaced by a speculative retry because no
  // answer came.
  int m_speculative_retries = 0;
  // Members on which the statement is not placed again while they are replicas:
  // those whose log lacked the required position, and those that did not answer
  // before a speculative retry. The primary is never excluded.
  std::set<MemberId> m_excluded_replicas;
  // Log position that the replica must hold, if the statement runs on a
  // replica.
  std::optional<FreshnessSample> m_floor;
  // When SpillControl last considered the statement with a turn.
  Time m_region_chosen{};
  // The holder to which the statement was last forwarded, and all to which it
  // was forwarded.
  InstanceId m_holder;
  std::set<InstanceId> m_tried_holders;
};

// An operation that was forwarded to another instance, which runs it.
struct RemoteOperation {
  friend bool operator==(const RemoteOperation&,
                         const RemoteOperation&) = default;

  OperationId m_operation;
  InstanceId m_holder;
};

// A transaction that the caller has begun.
struct OpenTransaction {
  bool m_read_only = false;
  // Whether the transaction was rolled back or is being rolled back. The caller
  // still has to end it.
  bool m_failed = false;
  // Whether the transaction failed between two statements, and the caller has
  // not been told.
  bool m_failed_unnoticed = false;
  bool m_wrote = false;
  // Whether a member has opened the transaction, or its first statement was
  // forwarded to a holder.
  bool m_begun = false;
  int m_answered_statements = 0;
  Time m_last_activity;
};

// State of a caller's session: what its statements refer to and which commits
// its reads must see.
struct Session {
  SessionId m_id;
  DatabaseName m_database;
  CallerKey m_key;
  CustomerName m_customer;
  // Route of the current operation. A change of the configuration applies from
  // the next operation on.
  Route m_route;
  std::map<std::string, std::string> m_values;
  std::map<std::string, PreparedShape> m_prepared;
  // Log position of the session's last commit, and the time of its
  // acknowledgement.
  std::optional<FreshnessSample> m_last_commit;
  std::optional<OpenTransaction> m_transaction;
  std::optional<ActiveStatement> m_active;
  // Statements that were received while another one was active.
  std::deque<Statement> m_pending_statements;
  std::optional<ConnectionId> m_connection;
  // Set while another instance runs the current operation.
  std::optional<RemoteOperation> m_remote;
  // Whether the session runs an operation of another instance, which has
  // checked the caller's key.
  bool m_is_forwarded = false;
  // Whether the current operation was admitted here and counted against the
  // customer's limits.
  bool m_is_admitted = false;
  // When the session was opened, or last received or answered a statement.
  Time m_last_activity;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_SESSION_H_
