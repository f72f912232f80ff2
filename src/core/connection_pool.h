#ifndef SRC_CORE_CONNECTION_POOL_H_
#define SRC_CORE_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/database_answer.h"
#include "src/core/event.h"
#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Manages this instance's connections to databases, within its share of each
// database's connection budget.
//
// A connection runs one statement, transaction or control call at a time.
// Control calls take precedence over statements, because the acknowledgement of
// writes depends on them. A connection counts against the share from the
// request to open it until ConnectionClosed is reported.
class ConnectionPool {
 public:
  struct Hooks {
    // Returns how many connections may be open to a database now.
    std::function<uint32_t(const DatabaseName&)> m_share;
    // A connection to the database has become idle, or one has ended, so that
    // another can be opened.
    std::function<void(const DatabaseName&, Context&)> m_on_available;
    // A taken connection has ended.
    std::function<void(ConnectionId, Context&)> m_on_lost;
    // A connection to the member could not be opened, or ended without a
    // request to close it. The flag tells whether the member's address actively
    // refused the connection.
    std::function<void(const DatabaseName&, const MemberId&, bool, Context&)>
        m_on_member_failure;
    // A control call has ended.
    std::function<void(CallId, const ControlAnswer&, Context&)> m_on_answer;
  };

  explicit ConnectionPool(Hooks hooks) : m_hooks(std::move(hooks)) {}

  // Returns an idle connection to `member` and marks it as taken. If there is
  // none, opens one if the share allows it, and returns nullopt.
  std::optional<ConnectionId> Take(const DatabaseName& database,
                                   const Member& member,
                                   Context& context);

  // Returns a taken connection to the pool. It must have no unread results and
  // no open transaction.
  void Release(ConnectionId connection, Context& context);

  // Closes a taken connection whose state is unknown.
  void Discard(ConnectionId connection, Context& context);

  // Sends a control request to a member as soon as a connection to it is idle.
  // The answer, or ControlFailed after kControlTimeout, is passed to
  // Hooks::m_on_answer.
  CallId Call(const DatabaseName& database,
              const Member& member,
              ControlRequest request,
              Context& context);

  void OnOpened(ConnectionId connection, Context& context);
  void OnClosed(const ConnectionClosed& event, Context& context);
  void OnControlAnswered(CallId call,
                         const ControlAnswer& answer,
                         Context& context);
  void OnTick(Context& context);

  // Closes idle connections in excess of `share`. Returns whether at most
  // `share` connections remain, including those that are still closing.
  bool ShrinkTo(const DatabaseName& database, uint32_t share, Context& context);

  // Closes all idle connections to a database that is no longer configured.
  void CloseIdleConnections(const DatabaseName& database, Context& context);

  // Returns the number of connections that count against the database's budget.
  uint32_t OpenCount(const DatabaseName& database) const;

  // Returns whether a connection to `member` is open, idle or in use.
  bool HasConnection(const DatabaseName& database,
                     const MemberId& member) const;

  // Returns the member that `connection` connects to, or nullptr if the
  // connection is unknown.
  const Member* MemberOf(ConnectionId connection) const;

 private:
  enum class State { kOpening, kIdle, kTaken, kInCall, kClosing };

  struct Connection {
    ConnectionId m_id;
    Member m_member;
    State m_state = State::kOpening;
    // When the connection last became idle, or was requested.
    Time m_state_since;
    CallId m_call;
  };

  struct PendingCall {
    CallId m_call;
    Member m_member;
    ControlRequest m_request;
    Time m_expires;
  };

  struct Backoff {
    Time m_until;
    Duration m_delay{};
  };

  struct Pool {
    std::vector<Connection> m_connections;
    std::deque<PendingCall> m_calls;
    std::map<MemberId, Backoff> m_backoff;
    // Members to which no connection could be opened because the share is used
    // up. They are tried again when a connection ends.
    std::map<MemberId, Member> m_deferred;
  };

  struct RunningCall {
    DatabaseName m_database;
    ConnectionId m_connection;
    Time m_expires;
  };

  Connection* Find(ConnectionId id);
  Connection* FindIdle(Pool* pool, const MemberId& member);
  void Open(const DatabaseName& database,
            Pool* pool,
            const Member& member,
            Context& context);
  void Close(Connection* connection, Context& context);
  // Opens a connection to `member` if the share and the member's backoff allow
  // it. If the share is used up, closes an idle connection to another member.
  void RequestConnection(const DatabaseName& database,
                         Pool* pool,
                         const Member& member,
                         Context& context);
  Connection* ChooseVictim(Pool* pool, const MemberId& member, Time now);
  void RunCalls(const DatabaseName& database, Pool* pool, Context& context);
  void SetIdle(const DatabaseName& database,
               Connection* connection,
               Context& context);
  void ExpireCalls(Context& context);

  Hooks m_hooks;
  std::unordered_map<DatabaseName, Pool> m_pools;
  std::unordered_map<ConnectionId, DatabaseName> m_database_of;
  std::map<CallId, RunningCall> m_running;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONNECTION_POOL_H_
