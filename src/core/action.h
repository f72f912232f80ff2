#ifndef SRC_CORE_ACTION_H_
#define SRC_CORE_ACTION_H_

#include <variant>
#include <vector>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/database_answer.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"
#include "src/core/timeline_event.h"

namespace jasminelug::core {

// Actions are the operations that the engine requests from the process around
// it. Each action is a plain value.

// Sends the answer to the caller. Each request gets exactly one answer.
struct AnswerRequest {
  RequestHandle m_request;
  CallerAnswer m_answer;

  friend bool operator==(const AnswerRequest&, const AnswerRequest&) = default;
};

// Opens a connection to a member. The process reports ConnectionOpened or
// ConnectionClosed.
struct OpenConnection {
  ConnectionId m_connection;
  DatabaseName m_database;
  Member m_member;

  friend bool operator==(const OpenConnection&,
                         const OpenConnection&) = default;
};

// Closes a connection. The process reports ConnectionClosed.
struct CloseConnection {
  ConnectionId m_connection;

  friend bool operator==(const CloseConnection&,
                         const CloseConnection&) = default;
};

// The position of a statement in a transaction.
enum class TransactionStep {
  // The statement is a transaction of its own.
  kAutocommit,
  kBegin,
  kInTransaction,
  kCommit,
  kRollback,
};

// Runs one step of a transaction on a connection that runs nothing else. The
// process reports StatementFinished.
struct RunStatement {
  ConnectionId m_connection;
  TransactionStep m_step = TransactionStep::kAutocommit;
  Statement m_statement;
  bool m_read_only = false;
  // If set, the id is inserted into the table of requests in the same
  // transaction. It is qualified by m_customer, so that equal ids of two
  // customers do not collide.
  RequestId m_request_id;
  CustomerName m_customer;

  friend bool operator==(const RunStatement&, const RunStatement&) = default;
};

// Sends a control request to a member. The process reports ControlAnswered.
// The call runs on an idle connection to that member, or on one that is opened
// for the call.
struct CallMember {
  CallId m_call;
  DatabaseName m_database;
  Member m_member;
  // The connection of the ConnectionPool that the call runs on.
  ConnectionId m_connection;
  ControlRequest m_request;

  friend bool operator==(const CallMember&, const CallMember&) = default;
};

// Calls the platform. The process reports PlatformAnswered.
struct CallPlatform {
  CallId m_call;
  PlatformRequest m_request;

  friend bool operator==(const CallPlatform&, const CallPlatform&) = default;
};

// Sends a message to a peer. The process may report PeerUnreachable.
struct SendToPeer {
  InstanceId m_peer;
  Address m_address;
  PeerMessage m_message;

  friend bool operator==(const SendToPeer&, const SendToPeer&) = default;
};

// Appends an event to the time line.
struct RecordEvent {
  TimelineEvent m_event;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

// Tells the load balancer whether this instance accepts new requests.
struct SetReadiness {
  bool m_ready = false;

  friend bool operator==(const SetReadiness&, const SetReadiness&) = default;
};

// Ends the process. Emitted when a requested shutdown has completed, or when
// another process has taken over this instance's id.
struct StopProcess {
  friend bool operator==(const StopProcess&, const StopProcess&) = default;
};

using Action = std::variant<AnswerRequest,
                            OpenConnection,
                            CloseConnection,
                            RunStatement,
                            CallMember,
                            CallPlatform,
                            SendToPeer,
                            RecordEvent,
                            SetReadiness,
                            StopProcess>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_ACTION_H_
