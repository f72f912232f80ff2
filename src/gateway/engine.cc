#include "src/gateway/engine.h"

#include <utility>

namespace jasminelug::gateway {
namespace {

// A connection that does not open within this time is given up.
constexpr Duration kOpenTimeout = 1s;
// At shutdown idle sessions are closed over this many ticks, so that their
// callers do not all come back at once.
constexpr std::size_t kClosingTicks = 25;
// A rollback that is not answered within this time ends its connection.
constexpr Duration kRollbackTimeout = 2s;

}  // namespace

Engine::Engine(EngineOptions options, EngineHooks hooks)
    : m_options(std::move(options)), m_hooks(std::move(hooks)) {}

Session* Engine::FindSession(SessionId id) {
  const auto found = m_sessions.find(id.value());
  return found == m_sessions.end() ? nullptr : found->second.get();
}

const Engine::Group* Engine::FindGroup(const GroupName& name) const {
  const auto found = m_groups.find(name);
  return found == m_groups.end() ? nullptr : &found->second;
}

void Engine::SetConfiguration(
    std::shared_ptr<const Configuration> configuration,
    Time now) {
  m_configuration = std::move(configuration);
  m_limiter.SetLimits(*m_configuration, now);
  for (const auto& [group, limits] : m_configuration->m_groups) {
    GroupOf(group);
  }
}

void Engine::SetMembers(const std::vector<Member>& members, Time now) {
  for (const MemberId& gone : m_members.SetMembers(members)) {
    for (const ConnectionId id : m_connections.AllOf(gone)) {
      Connection* connection = m_connections.Find(id);
      if (connection->m_stage == Connection::Stage::kIdle) {
        DropConnection(connection, now);
      }
    }
  }
  for (auto& [name, group] : m_groups) {
    Dispatch(name, now);
  }
}

void Engine::SetEvacuatedZones(const std::set<ZoneName>& zones, Time now) {
  m_members.SetEvacuatedZones(zones);
  for (auto& [name, group] : m_groups) {
    Dispatch(name, now);
  }
}

void Engine::SetInstanceCount(int count) {
  m_instance_count = std::max(count, 1);
}

void Engine::SetPrimary(const GroupName& name,
                        const PrimaryView& primary,
                        bool abandon,
                        Time now) {
  Group& group = GroupOf(name);
  const PrimaryView before = group.m_primary;
  if (before == primary && !abandon) {
    return;
  }
  group.m_primary = primary;
  if (before.m_member != primary.m_member) {
    group.m_floor.Clear();
    group.m_primary_failing_since.reset();
  }
  if (abandon && before.m_member) {
    for (const ConnectionId id : m_connections.AllOf(*before.m_member)) {
      Connection* connection = m_connections.Find(id);
      if (connection) {
        m_hooks.m_close_connection(id);
        OnConnectionClosed(id, std::nullopt, now);
      }
    }
  }
  Dispatch(name, now);
}

bool Engine::IsPrimaryQuiet(const GroupName& name) const {
  const Group* group = FindGroup(name);
  if (!group || !group->m_primary.m_member) {
    return true;
  }
  const MemberState* state = m_members.Find(*group->m_primary.m_member);
  return !state || state->m_busy == 0;
}

std::optional<FreshnessSample> Engine::NewestSample(
    const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group ? group->m_floor.Newest() : std::nullopt;
}

void Engine::AddSample(const GroupName& name,
                       const FreshnessSample& sample,
                       Time now) {
  GroupOf(name).m_floor.Add(sample, now);
}

std::optional<Time> Engine::PrimaryFailingSince(const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group ? group->m_primary_failing_since : std::nullopt;
}

void Engine::BeginShutdown(Time now) {
  m_shutdown_since = now;
}

void Engine::OnTick(Time now) {
  for (const ConnectionId id : m_connections.All()) {
    Connection* connection = m_connections.Find(id);
    if (!connection) {
      continue;
    }
    const bool opening = connection->m_stage == Connection::Stage::kOpening &&
                         now - connection->m_opened > kOpenTimeout;
    const bool rolling_back =
        connection->m_stage == Connection::Stage::kRollingBack &&
        now - connection->m_last_used > kRollbackTimeout;
    if (opening || rolling_back) {
      m_hooks.m_close_connection(id);
      OnConnectionClosed(id, std::nullopt, now);
    }
  }
  m_closings_left = m_sessions.size() / kClosingTicks + 1;
  std::vector<SessionId> ids;
  ids.reserve(m_sessions.size());
  for (const auto& [id, session] : m_sessions) {
    ids.emplace_back(id);
  }
  for (const SessionId id : ids) {
    Session* session = FindSession(id);
    if (session) {
      EndOverdue(session, now);
    }
  }
  for (auto& [name, group] : m_groups) {
    Dispatch(name, now);
  }
}

void Engine::EndOverdue(Session* session, Time now) {
  if (session->m_active) {
    const ActiveStatement& active = *session->m_active;
    if (now < active.m_deadline) {
      return;
    }
    if (!active.m_sent) {
      Refuse(session, ErrorCode::kBusy, "no member was free in time", now);
      return;
    }
    LoseStatement(session, now);
    return;
  }
  if (session->m_transaction && !session->m_transaction->m_failed) {
    Duration limit =
        m_configuration ? m_configuration->m_transaction_idle_limit : 3s;
    if (m_shutdown_since) {
      limit = Duration::zero();
    }
    const bool overdue =
        m_shutdown_since
            ? now - *m_shutdown_since > m_options.m_shutdown_transaction_limit
            : now - session->m_transaction->m_last_activity > limit;
    if (overdue) {
      FailTransaction(session, now);
    }
    return;
  }
  if (m_shutdown_since && m_closings_left > 0) {
    m_closings_left -= 1;
    CloseIfShuttingDown(session);
  }
}

}  // namespace jasminelug::gateway
