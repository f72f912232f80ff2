#include "src/gateway/connection_table.h"

#include <algorithm>

namespace jasminelug::gateway {

Connection* ConnectionTable::Add(const MemberId& member,
                                 const GroupName& group,
                                 const CustomerName& customer,
                                 Time now) {
  auto connection = std::make_unique<Connection>();
  connection->m_id = ConnectionId(m_next_id++);
  connection->m_member = member;
  connection->m_group = group;
  connection->m_customer = customer;
  connection->m_opened = now;
  connection->m_last_used = now;
  Connection* added = connection.get();
  m_connections.emplace(added->m_id, std::move(connection));
  return added;
}

Connection* ConnectionTable::Find(ConnectionId id) {
  const auto found = m_connections.find(id);
  return found == m_connections.end() ? nullptr : found->second.get();
}

Connection* ConnectionTable::FindIdle(
    const MemberId& member,
    const CustomerName& customer,
    const std::map<std::string, std::string>& values) {
  Connection* best = nullptr;
  bool best_has_values = false;
  for (const auto& [id, connection] : m_connections) {
    if (connection->m_stage != Connection::Stage::kIdle ||
        connection->m_member != member || connection->m_customer != customer) {
      continue;
    }
    const bool has_values = connection->m_values == values;
    const bool better =
        has_values != best_has_values
            ? has_values
            : !best || connection->m_last_used > best->m_last_used;
    if (better) {
      best = connection.get();
      best_has_values = has_values;
    }
  }
  return best;
}

Connection* ConnectionTable::FindOldestIdle(const MemberId& member) {
  Connection* oldest = nullptr;
  for (const auto& [id, connection] : m_connections) {
    if (connection->m_stage != Connection::Stage::kIdle ||
        connection->m_member != member) {
      continue;
    }
    if (!oldest || connection->m_last_used < oldest->m_last_used) {
      oldest = connection.get();
    }
  }
  return oldest;
}

std::vector<ConnectionId> ConnectionTable::All() const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : m_connections) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<ConnectionId> ConnectionTable::AllOf(const MemberId& member) const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, connection] : m_connections) {
    if (connection->m_member == member) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool ConnectionTable::AreAllIdle(const MemberId& member) const {
  return std::all_of(m_connections.begin(), m_connections.end(),
                     [&member](const auto& item) {
                       const Connection& connection = *item.second;
                       return connection.m_member != member ||
                              connection.m_stage == Connection::Stage::kIdle ||
                              connection.RequestsStatus();
                     });
}

int ConnectionTable::CountInFlight(const MemberId& member) const {
  return static_cast<int>(std::count_if(
      m_connections.begin(), m_connections.end(), [&member](const auto& item) {
        const Connection& connection = *item.second;
        return connection.m_member == member &&
               (connection.m_stage == Connection::Stage::kOpening ||
                !connection.m_sent.empty());
      }));
}

std::optional<Time> ConnectionTable::OldestUnanswered(
    const MemberId& member) const {
  std::optional<Time> oldest;
  for (const auto& [id, connection] : m_connections) {
    if (connection->m_member != member) {
      continue;
    }
    std::optional<Time> since;
    if (connection->m_stage == Connection::Stage::kOpening) {
      since = connection->m_opened;
    } else if (!connection->m_sent.empty()) {
      since = connection->m_sent.front().m_sent;
    }
    if (since && (!oldest || *since < *oldest)) {
      oldest = since;
    }
  }
  return oldest;
}

}  // namespace jasminelug::gateway
