#include "src/gateway/forward_host.h"

#include <utility>

namespace jasminelug::gateway {
namespace {

// First id of the sessions that run operations of other instances. The ids of
// callers' sessions start at 0.
constexpr std::uint64_t kFirstForwardedSessionId = std::uint64_t{1} << 63;

}  // namespace

bool ForwardHost::Owns(SessionId session) {
  return session.value() >= kFirstForwardedSessionId;
}

std::optional<SessionId> ForwardHost::Find(const ForwardOrigin& origin) const {
  const auto found = m_sessions.find(origin);
  if (found == m_sessions.end()) {
    return std::nullopt;
  }
  return found->second;
}

SessionId ForwardHost::Add(const ForwardOrigin& origin) {
  const SessionId id(kFirstForwardedSessionId + m_next_id++);
  m_sessions.insert_or_assign(origin, id);
  m_runs[id] = {origin};
  return id;
}

const ForwardOrigin* ForwardHost::OriginOf(SessionId session) const {
  const auto found = m_runs.find(session);
  return found == m_runs.end() ? nullptr : &found->second.m_origin;
}

void ForwardHost::Remove(SessionId session) {
  const auto found = m_runs.find(session);
  if (found != m_runs.end()) {
    m_sessions.erase(found->second.m_origin);
    m_runs.erase(found);
  }
}

bool ForwardHost::NoteReceived(SessionId session,
                               StatementNumber number,
                               Time now) {
  const auto found = m_runs.find(session);
  if (found == m_runs.end()) {
    return false;
  }
  Run& run = found->second;
  const bool is_next =
      !run.m_working_since && number && *number == run.m_number.value_or(0) + 1;
  if (number && !is_next) {
    return false;
  }
  run.m_number = number;
  run.m_working_since = now;
  return true;
}

StatementNumber ForwardHost::NoteAnswered(SessionId session) {
  const auto found = m_runs.find(session);
  if (found == m_runs.end()) {
    return std::nullopt;
  }
  found->second.m_working_since.reset();
  return found->second.m_number;
}

std::vector<SessionId> ForwardHost::EarlierSessions(
    const InstanceId& instance,
    Incarnation incarnation) const {
  std::vector<SessionId> sessions;
  const auto end = m_sessions.lower_bound({instance, incarnation, {}});
  for (auto it = m_sessions.lower_bound({instance, {}, {}}); it != end; ++it) {
    sessions.push_back(it->second);
  }
  return sessions;
}

ForwardProgress ForwardHost::ProgressFor(const InstanceId& instance) const {
  ForwardProgress progress;
  for (const auto& [session, run] : m_runs) {
    if (run.m_working_since && run.m_origin.m_instance == instance) {
      progress.m_operations.push_back(run.m_origin.m_operation);
    }
  }
  return progress;
}

std::vector<ForwardHost::DueProgress> ForwardHost::TakeDueProgress(Time now) {
  if (now - m_confirmed < kProgressInterval) {
    return {};
  }
  std::map<InstanceId, bool> due;
  for (const auto& [session, run] : m_runs) {
    if (run.m_working_since) {
      due[run.m_origin.m_instance] |=
          now - *run.m_working_since >= kProgressInterval;
    }
  }
  std::vector<DueProgress> all;
  for (const auto& [instance, is_due] : due) {
    if (is_due) {
      all.push_back({instance, ProgressFor(instance)});
    }
  }
  if (!all.empty()) {
    m_confirmed = now;
  }
  return all;
}

}  // namespace jasminelug::gateway
