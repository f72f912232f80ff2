#include "src/gateway/forward_table.h"

#include <functional>
#include <string>

namespace jasminelug::gateway {
namespace {

std::uint64_t FirstIdOf(const InstanceId& self, Incarnation incarnation) {
  const std::string run =
      self.str() + "/" + std::to_string(incarnation.value());
  return std::hash<std::string>()(run);
}

}  // namespace

ForwardTable::ForwardTable(const InstanceId& self, Incarnation incarnation)
    : m_next_id(FirstIdOf(self, incarnation)) {}

OperationId ForwardTable::Add(SessionId session, const InstanceId& holder) {
  const OperationId id(m_next_id++);
  m_forwards[id] = {session, holder};
  return id;
}

const Forward* ForwardTable::Find(OperationId id) const {
  const auto found = m_forwards.find(id);
  return found == m_forwards.end() ? nullptr : &found->second;
}

StatementNumber ForwardTable::NoteSent(OperationId id, Time now) {
  const auto found = m_forwards.find(id);
  if (found == m_forwards.end()) {
    return std::nullopt;
  }
  Forward& forward = found->second;
  forward.m_number += 1;
  forward.m_unanswered = true;
  forward.m_confirmed = now;
  return forward.m_number;
}

void ForwardTable::NoteAnswered(OperationId id) {
  const auto found = m_forwards.find(id);
  if (found != m_forwards.end()) {
    found->second.m_unanswered = false;
  }
}

void ForwardTable::NoteProgress(const InstanceId& holder,
                                const ForwardProgress& progress,
                                Time now) {
  for (const OperationId id : progress.m_operations) {
    const auto found = m_forwards.find(id);
    if (found != m_forwards.end() && found->second.m_holder == holder) {
      found->second.m_confirmed = now;
    }
  }
}

void ForwardTable::NoteRefused(const InstanceId& holder, Time now) {
  m_avoided_until[holder] = now + kRefusalBackoff;
}

void ForwardTable::NoteLost(const InstanceId& holder, Time now) {
  for (auto& [id, forward] : m_forwards) {
    if (forward.m_holder == holder) {
      forward.m_confirmed = now - kConfirmationTimeout;
    }
  }
  m_unresponsive.emplace(holder, now);
}

std::vector<OperationId> ForwardTable::TakeUnconfirmed(Time now) {
  std::vector<OperationId> silent;
  for (const auto& [id, forward] : m_forwards) {
    if (forward.m_unanswered &&
        now - forward.m_confirmed >= kConfirmationTimeout) {
      silent.push_back(id);
      m_unresponsive.emplace(forward.m_holder, now);
    }
  }
  return silent;
}

bool ForwardTable::IsUsable(const InstanceId& holder, Time now) const {
  const auto avoided = m_avoided_until.find(holder);
  const bool refused =
      avoided != m_avoided_until.end() && now < avoided->second;
  return !refused && !m_unresponsive.contains(holder);
}

std::vector<InstanceId> ForwardTable::TakeDuePings(Time now) {
  std::vector<InstanceId> due;
  for (auto& [holder, asked] : m_unresponsive) {
    if (now - asked >= kPingInterval) {
      asked = now;
      due.push_back(holder);
    }
  }
  return due;
}

}  // namespace jasminelug::gateway
