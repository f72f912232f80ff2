#include "src/core/connection_pool.h"

#include <algorithm>
#include <utility>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

// Maximum time that a control call waits for a connection, and then for its
// answer, before it fails.
constexpr Duration kControlTimeout = 400ms;

// Delay before another connection is opened to a member after a connection to
// it has failed: the initial value, which doubles with each failure, and its
// maximum. The actual delay is random between half of the value and all of it.
constexpr Duration kInitialBackoff = 50ms;
constexpr Duration kMaxBackoff = 1s;

// Minimum idle time after which a connection may be closed to allow one to
// another member that already has connections.
constexpr Duration kMinIdleBeforeEviction = 100ms;

}  // namespace

std::optional<ConnectionId> ConnectionPool::Take(const DatabaseName& database,
                                                 const Member& member,
                                                 Context& context) {
  Pool& pool = m_pools[database];
  if (m_hooks.m_share(database) == 0) {
    return std::nullopt;
  }
  Connection* idle = FindIdle(&pool, member.m_id);
  if (idle == nullptr) {
    RequestConnection(database, &pool, member, context);
    return std::nullopt;
  }
  idle->m_state = State::kTaken;
  return idle->m_id;
}

void ConnectionPool::Release(ConnectionId id, Context& context) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->m_state == State::kClosing) {
    return;
  }
  JASMINELUG_ASSERT(connection->m_state == State::kTaken,
                    ONLY_A_TAKEN_CONNECTION_IS_RELEASED);
  SetIdle(m_database_of.at(id), connection, context);
}

void ConnectionPool::Discard(ConnectionId id, Context& context) {
  Connection* connection = Find(id);
  if (connection != nullptr) {
    Close(connection, context);
  }
}

CallId ConnectionPool::Call(const DatabaseName& database,
                            const Member& member,
                            ControlRequest request,
                            Context& context) {
  Pool& pool = m_pools[database];
  const CallId call = context.NextCall(CallOwner::kGroups);
  pool.m_calls.push_back(PendingCall{call, member, std::move(request),
                                     context.Now() + kControlTimeout});
  RunCalls(database, &pool, context);
  return call;
}

void ConnectionPool::OnOpened(ConnectionId id, Context& context) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->m_state != State::kOpening) {
    return;
  }
  const DatabaseName database = m_database_of.at(id);
  m_pools.at(database).m_backoff.erase(connection->m_member.m_id);
  TimelineEvent event;
  event.m_kind = TimelineKind::kConnectionOpened;
  event.m_database = database;
  event.m_detail = connection->m_member.m_id.str();
  context.Record(std::move(event));
  SetIdle(database, connection, context);
}

void ConnectionPool::OnClosed(const ConnectionClosed& event, Context& context) {
  const ConnectionId id = event.m_connection;
  const bool refused = event.m_refused;
  const auto place = m_database_of.find(id);
  if (place == m_database_of.end()) {
    return;
  }
  const DatabaseName database = place->second;
  Pool& pool = m_pools.at(database);
  const auto found =
      std::find_if(pool.m_connections.begin(), pool.m_connections.end(),
                   [id](const Connection& c) { return c.m_id == id; });
  const Connection ended = *found;
  pool.m_connections.erase(found);
  m_database_of.erase(place);
  if (ended.m_state == State::kInCall) {
    const CallId call = ended.m_call;
    m_running.erase(call);
    m_hooks.m_on_answer(call, ControlFailed{refused, true}, context);
  }
  if (ended.m_state != State::kClosing) {
    Backoff& backoff = pool.m_backoff[ended.m_member.m_id];
    backoff.m_delay = backoff.m_delay == Duration::zero()
                          ? kInitialBackoff
                          : std::min(2 * backoff.m_delay, kMaxBackoff);
    backoff.m_until = context.Now() + backoff.m_delay / 2 +
                      context.RandomUpTo(backoff.m_delay / 2);
    TimelineEvent entry;
    entry.m_kind = TimelineKind::kConnectionClosed;
    entry.m_database = database;
    entry.m_detail = ended.m_member.m_id.str();
    context.Record(std::move(entry));
  }
  if (ended.m_state == State::kTaken) {
    m_hooks.m_on_lost(id, context);
  }
  if (ended.m_state != State::kClosing && !event.m_is_full) {
    m_hooks.m_on_member_failure(database, ended.m_member.m_id, refused,
                                context);
  }
  const auto deferred = std::exchange(pool.m_deferred, {});
  for (const auto& [member_id, member] : deferred) {
    RequestConnection(database, &pool, member, context);
  }
  RunCalls(database, &pool, context);
  m_hooks.m_on_available(database, context);
}

void ConnectionPool::OnControlAnswered(CallId call,
                                       const ControlAnswer& answer,
                                       Context& context) {
  const auto running = m_running.find(call);
  if (running == m_running.end()) {
    return;
  }
  const RunningCall place = running->second;
  m_running.erase(running);
  Connection* connection = Find(place.m_connection);
  if (connection != nullptr && connection->m_state == State::kInCall) {
    if (std::holds_alternative<ControlFailed>(answer)) {
      Close(connection, context);
    } else {
      SetIdle(place.m_database, connection, context);
    }
  }
  m_hooks.m_on_answer(call, answer, context);
}

void ConnectionPool::OnTick(Context& context) {
  ExpireCalls(context);
  for (auto& [database, pool] : m_pools) {
    RunCalls(database, &pool, context);
  }
}

bool ConnectionPool::ShrinkTo(const DatabaseName& database,
                              uint32_t share,
                              Context& context) {
  const auto found = m_pools.find(database);
  if (found == m_pools.end()) {
    return true;
  }
  std::vector<Connection>& connections = found->second.m_connections;
  size_t open = 0;
  for (const Connection& connection : connections) {
    open += connection.m_state == State::kClosing ? 0 : 1;
  }
  for (Connection& connection : connections) {
    if (open <= share) {
      break;
    }
    if (connection.m_state == State::kIdle) {
      Close(&connection, context);
      --open;
    }
  }
  return connections.size() <= share;
}

void ConnectionPool::CloseIdleConnections(const DatabaseName& database,
                                          Context& context) {
  ShrinkTo(database, 0, context);
}

uint32_t ConnectionPool::OpenCount(const DatabaseName& database) const {
  const auto found = m_pools.find(database);
  return found == m_pools.end()
             ? 0
             : static_cast<uint32_t>(found->second.m_connections.size());
}

bool ConnectionPool::HasConnection(const DatabaseName& database,
                                   const MemberId& member) const {
  const auto found = m_pools.find(database);
  if (found == m_pools.end()) {
    return false;
  }
  return std::any_of(
      found->second.m_connections.begin(), found->second.m_connections.end(),
      [&member](const Connection& c) {
        return c.m_member.m_id == member && c.m_state != State::kOpening &&
               c.m_state != State::kClosing;
      });
}

const Member* ConnectionPool::MemberOf(ConnectionId id) const {
  const auto place = m_database_of.find(id);
  if (place == m_database_of.end()) {
    return nullptr;
  }
  for (const Connection& connection : m_pools.at(place->second).m_connections) {
    if (connection.m_id == id) {
      return &connection.m_member;
    }
  }
  return nullptr;
}

ConnectionPool::Connection* ConnectionPool::Find(ConnectionId id) {
  const auto place = m_database_of.find(id);
  if (place == m_database_of.end()) {
    return nullptr;
  }
  for (Connection& connection : m_pools.at(place->second).m_connections) {
    if (connection.m_id == id) {
      return &connection;
    }
  }
  return nullptr;
}

ConnectionPool::Connection* ConnectionPool::FindIdle(Pool* pool,
                                                     const MemberId& member) {
  for (Connection& connection : pool->m_connections) {
    if (connection.m_state == State::kIdle &&
        connection.m_member.m_id == member) {
      return &connection;
    }
  }
  return nullptr;
}

void ConnectionPool::Open(const DatabaseName& database,
                          Pool* pool,
                          const Member& member,
                          Context& context) {
  Connection connection;
  connection.m_id = context.NextConnection();
  connection.m_member = member;
  connection.m_state_since = context.Now();
  pool->m_connections.push_back(connection);
  m_database_of.emplace(connection.m_id, database);
  context.Emit(OpenConnection{connection.m_id, database, member});
}

void ConnectionPool::Close(Connection* connection, Context& context) {
  if (connection->m_state == State::kClosing) {
    return;
  }
  connection->m_state = State::kClosing;
  context.Emit(CloseConnection{connection->m_id});
}

void ConnectionPool::RequestConnection(const DatabaseName& database,
                                       Pool* pool,
                                       const Member& member,
                                       Context& context) {
  const uint32_t share = m_hooks.m_share(database);
  const auto backoff = pool->m_backoff.find(member.m_id);
  if (share == 0 || (backoff != pool->m_backoff.end() &&
                     context.Now() < backoff->second.m_until)) {
    return;
  }
  const bool opening = std::any_of(
      pool->m_connections.begin(), pool->m_connections.end(),
      [&member](const Connection& c) {
        return c.m_member.m_id == member.m_id && c.m_state == State::kOpening;
      });
  if (opening) {
    return;
  }
  if (pool->m_connections.size() < share) {
    Open(database, pool, member, context);
    return;
  }
  pool->m_deferred.insert_or_assign(member.m_id, member);
  const bool closing = std::any_of(
      pool->m_connections.begin(), pool->m_connections.end(),
      [](const Connection& c) { return c.m_state == State::kClosing; });
  if (closing) {
    return;
  }
  Connection* victim = ChooseVictim(pool, member.m_id, context.Now());
  if (victim != nullptr) {
    Close(victim, context);
  }
}

// Returns the connection to another member that has been idle for longest, or
// nullptr if none may be closed. If `member` has no connection, any idle
// connection may be closed at once. Otherwise the connection must have been
// idle for kMinIdleBeforeEviction, so that it is not one in regular use.
ConnectionPool::Connection* ConnectionPool::ChooseVictim(Pool* pool,
                                                         const MemberId& member,
                                                         Time now) {
  const bool has_none = std::none_of(
      pool->m_connections.begin(), pool->m_connections.end(),
      [&member](const Connection& c) { return c.m_member.m_id == member; });
  Connection* victim = nullptr;
  for (Connection& connection : pool->m_connections) {
    const bool is_candidate = connection.m_state == State::kIdle &&
                              connection.m_member.m_id != member;
    const bool is_old_enough =
        has_none || now - connection.m_state_since >= kMinIdleBeforeEviction;
    if (is_candidate && is_old_enough &&
        (victim == nullptr ||
         connection.m_state_since < victim->m_state_since)) {
      victim = &connection;
    }
  }
  return victim;
}

void ConnectionPool::RunCalls(const DatabaseName& database,
                              Pool* pool,
                              Context& context) {
  for (auto call = pool->m_calls.begin(); call != pool->m_calls.end();) {
    Connection* idle = FindIdle(pool, call->m_member.m_id);
    if (idle == nullptr) {
      RequestConnection(database, pool, call->m_member, context);
      ++call;
      continue;
    }
    idle->m_state = State::kInCall;
    idle->m_call = call->m_call;
    m_running.emplace(
        call->m_call,
        RunningCall{database, idle->m_id, context.Now() + kControlTimeout});
    context.Emit(CallMember{call->m_call, database, call->m_member, idle->m_id,
                            std::move(call->m_request)});
    call = pool->m_calls.erase(call);
  }
}

void ConnectionPool::SetIdle(const DatabaseName& database,
                             Connection* connection,
                             Context& context) {
  connection->m_state = State::kIdle;
  connection->m_state_since = context.Now();
  Pool& pool = m_pools.at(database);
  if (pool.m_connections.size() > m_hooks.m_share(database)) {
    Close(connection, context);
    return;
  }
  RunCalls(database, &pool, context);
  m_hooks.m_on_available(database, context);
}

void ConnectionPool::ExpireCalls(Context& context) {
  std::vector<CallId> expired;
  std::vector<CallId> unsent;
  for (auto& [database, pool] : m_pools) {
    while (!pool.m_calls.empty() &&
           pool.m_calls.front().m_expires <= context.Now()) {
      unsent.push_back(pool.m_calls.front().m_call);
      pool.m_calls.pop_front();
    }
  }
  for (auto call = m_running.begin(); call != m_running.end();) {
    if (call->second.m_expires > context.Now()) {
      ++call;
      continue;
    }
    if (Connection* connection = Find(call->second.m_connection)) {
      Close(connection, context);
    }
    expired.push_back(call->first);
    call = m_running.erase(call);
  }
  for (const CallId call : expired) {
    m_hooks.m_on_answer(call, ControlFailed{}, context);
  }
  for (const CallId call : unsent) {
    m_hooks.m_on_answer(call, ControlFailed{false, false}, context);
  }
}

}  // namespace jasminelug::core
