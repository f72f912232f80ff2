#ifndef SRC_CORE_EVENT_H_
#define SRC_CORE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/core/caller_request.h"
#include "src/core/database_answer.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Events report to the engine what has happened. Each event is a plain value.

// A request has arrived from a caller.
struct RequestReceived {
  RequestHandle m_request;
  CallerRequest m_body;

  friend bool operator==(const RequestReceived&,
                         const RequestReceived&) = default;
};

// The caller's connection or stream has ended, so that no answer can be
// delivered.
struct CallerGone {
  RequestHandle m_request;

  friend bool operator==(const CallerGone&, const CallerGone&) = default;
};

// A connection requested by OpenConnection is open.
struct ConnectionOpened {
  ConnectionId m_connection;

  friend bool operator==(const ConnectionOpened&,
                         const ConnectionOpened&) = default;
};

// A connection has ended, or could not be opened. The outcome of a statement
// or a call that ran on it has been reported earlier.
struct ConnectionClosed {
  ConnectionId m_connection;
  // The member's address actively refused the connection.
  bool m_refused = false;
  // The database has reached its maximum number of connections. This is not a
  // failure of the member.
  bool m_is_full = false;

  friend bool operator==(const ConnectionClosed&,
                         const ConnectionClosed&) = default;
};

// A statement requested by RunStatement has ended.
struct StatementFinished {
  ConnectionId m_connection;
  StatementOutcome m_outcome;

  friend bool operator==(const StatementFinished&,
                         const StatementFinished&) = default;
};

// A member has answered a CallMember, or the call has failed.
struct ControlAnswered {
  CallId m_call;
  ControlAnswer m_answer;

  friend bool operator==(const ControlAnswered&,
                         const ControlAnswered&) = default;
};

// The platform has answered a CallPlatform, or the call has failed.
struct PlatformAnswered {
  CallId m_call;
  PlatformAnswer m_answer;

  friend bool operator==(const PlatformAnswered&,
                         const PlatformAnswered&) = default;
};

// A message from a peer has arrived.
struct PeerMessageReceived {
  PeerSender m_from;
  PeerMessage m_message;

  friend bool operator==(const PeerMessageReceived&,
                         const PeerMessageReceived&) = default;
};

// A message could not be delivered to a peer.
struct PeerUnreachable {
  InstanceId m_peer;
  // The peer's address actively refused the connection, so no process listens
  // there.
  bool m_refused = false;
  // Number of the heartbeat that could not be delivered; 0 for other messages.
  // The refusal is not older than this heartbeat, however late it is reported.
  uint64_t m_number = 0;

  friend bool operator==(const PeerUnreachable&,
                         const PeerUnreachable&) = default;
};

// Time has passed. Sent at least every kTickInterval.
struct Tick {
  friend bool operator==(const Tick&, const Tick&) = default;
};

// The process was asked to stop after the requests in progress have finished.
struct ShutdownRequested {
  friend bool operator==(const ShutdownRequested&,
                         const ShutdownRequested&) = default;
};

// An operator has requested a planned change of a database's primary.
struct SwitchoverRequested {
  DatabaseName m_database;
  MemberId m_successor;

  friend bool operator==(const SwitchoverRequested&,
                         const SwitchoverRequested&) = default;
};

using Event = std::variant<RequestReceived,
                           CallerGone,
                           ConnectionOpened,
                           ConnectionClosed,
                           StatementFinished,
                           ControlAnswered,
                           PlatformAnswered,
                           PeerMessageReceived,
                           PeerUnreachable,
                           Tick,
                           ShutdownRequested,
                           SwitchoverRequested>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_EVENT_H_
