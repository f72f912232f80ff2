#include "src/core/transaction_table.h"

#include <utility>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

// Maximum time between two statements of a transaction. It is rolled back after
// this time, because its connection is not available to other requests.
constexpr Duration kIdleLimit = 5s;

// Maximum duration of a transaction, after which it is rolled back.
constexpr Duration kAgeLimit = 30s;

// Time for which the entry of a transaction that was rolled back is kept.
constexpr Duration kAbortedRetention = 60s;

}  // namespace

Transaction& TransactionTable::Add(Transaction transaction, Context& context) {
  const uint64_t number = context.Random()();
  const uint64_t salt = context.Random()();
  transaction.m_id = TransactionId(m_self.str() + '.' + std::to_string(number) +
                                   '.' + std::to_string(salt));
  transaction.m_started_at = context.Now();
  transaction.m_last_used = context.Now();
  const bool is_free =
      m_by_connection.emplace(transaction.m_connection, transaction.m_id)
          .second;
  JASMINELUG_ASSERT(is_free, A_CONNECTION_HAS_ONE_TRANSACTION);
  const TransactionId id = transaction.m_id;
  return m_transactions.emplace(id, std::move(transaction)).first->second;
}

Transaction* TransactionTable::Find(const TransactionId& id) {
  const auto found = m_transactions.find(id);
  return found == m_transactions.end() ? nullptr : &found->second;
}

Transaction* TransactionTable::FindByConnection(ConnectionId connection) {
  const auto found = m_by_connection.find(connection);
  return found == m_by_connection.end() ? nullptr : Find(found->second);
}

void TransactionTable::Abort(Transaction* transaction,
                             std::string reason,
                             Context& context) {
  if (transaction->m_state == TransactionState::kAborted) {
    return;
  }
  m_by_connection.erase(transaction->m_connection);
  transaction->m_state = TransactionState::kAborted;
  transaction->m_reason = std::move(reason);
  transaction->m_last_used = context.Now();
}

void TransactionTable::Remove(const TransactionId& id) {
  const auto found = m_transactions.find(id);
  if (found == m_transactions.end()) {
    return;
  }
  if (found->second.m_state != TransactionState::kAborted) {
    m_by_connection.erase(found->second.m_connection);
  }
  m_transactions.erase(found);
}

std::vector<TransactionId> TransactionTable::Overdue(Time now) const {
  std::vector<TransactionId> overdue;
  for (const auto& [id, transaction] : m_transactions) {
    const bool is_idle = now - transaction.m_last_used >= kIdleLimit;
    const bool is_old = now - transaction.m_started_at >= kAgeLimit;
    if (transaction.m_state == TransactionState::kIdle && (is_idle || is_old)) {
      overdue.push_back(id);
    }
  }
  return overdue;
}

void TransactionTable::RemoveExpired(Time now) {
  std::erase_if(m_transactions, [now](const auto& entry) {
    const Transaction& transaction = entry.second;
    return transaction.m_state == TransactionState::kAborted &&
           now - transaction.m_last_used >= kAbortedRetention;
  });
}

}  // namespace jasminelug::core
