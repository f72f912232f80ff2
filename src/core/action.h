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

// Actions are what the engine wants done. Each is a plain value.

// Hands the answer to the caller. Each request gets exactly one.
struct AnswerRequest {
  RequestHandle m_request;
  CallerAnswer m_answer;

  friend bool operator==(const AnswerRequest&, const AnswerRequest&) = default;
};

// Opens a connection; ConnectionOpened or ConnectionClosed follows.
struct OpenConnection {
  ConnectionId m_connection;
  DatabaseName m_database;
  Member m_member;

  friend bool operator==(const OpenConnection&,
                         const OpenConnection&) = default;
};

// Closes a connection; ConnectionClosed follows.
struct CloseConnection {
  ConnectionId m_connection;

  friend bool operator==(const CloseConnection&,
                         const CloseConnection&) = default;
};

enum class TransactionStep {
  // The statement is a transaction of its own.
  kAutocommit,
  kBegin,
  kInTransaction,
  kCommit,
  kRollback,
};

// Runs one step on a connection that runs nothing else; StatementFinished
// follows.
struct RunStatement {
  ConnectionId m_connection;
  TransactionStep m_step = TransactionStep::kAutocommit;
  Statement m_statement;
  bool m_read_only = false;
  // Where set, inserted into the table of requests in the same transaction;
  // qualified by the customer so that ids of two customers never meet.
  RequestId m_request_id;
  CustomerName m_customer;

  friend bool operator==(const RunStatement&, const RunStatement&) = default;
};

// Asks a member on its control call; ControlAnswered follows. Runs on an idle
// connection to that member, or on one that it opens for the call.
struct CallMember {
  CallId m_call;
  DatabaseName m_database;
  Member m_member;
  // A connection of the core's own that the call runs on.
  ConnectionId m_connection;
  ControlRequest m_request;

  friend bool operator==(const CallMember&, const CallMember&) = default;
};

// Calls the platform; PlatformAnswered follows.
struct CallPlatform {
  CallId m_call;
  PlatformRequest m_request;

  friend bool operator==(const CallPlatform&, const CallPlatform&) = default;
};

// Sends a message; PeerUnreachable may follow.
struct SendToPeer {
  InstanceId m_peer;
  Address m_address;
  PeerMessage m_message;

  friend bool operator==(const SendToPeer&, const SendToPeer&) = default;
};

// Adds to the time line.
struct RecordEvent {
  TimelineEvent m_event;

  friend bool operator==(const RecordEvent&, const RecordEvent&) = default;
};

// Tells the balancer whether this instance takes new work.
struct SetReadiness {
  bool m_ready = false;

  friend bool operator==(const SetReadiness&, const SetReadiness&) = default;
};

// Nothing is left to do after a requested shutdown.
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
