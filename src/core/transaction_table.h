#ifndef SRC_CORE_TRANSACTION_TABLE_H_
#define SRC_CORE_TRANSACTION_TABLE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/caller_request.h"
#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The state of an explicit transaction.
enum class TransactionState {
  // Waits for the next statement from the caller.
  kIdle,
  // Runs a statement, or a commit.
  kRunning,
  // Was rolled back. The entry is kept for a while, so that the caller can be
  // told why.
  kAborted,
};

// An explicit transaction of a caller. It uses the same connection, which it
// owns, from its begin to its end.
struct Transaction {
  TransactionId m_id;
  AllowanceKey m_allowance;
  DatabaseName m_database;
  Profile m_profile;
  MemberId m_member;
  ConnectionId m_connection;
  bool m_read_only = false;
  TransactionState m_state = TransactionState::kIdle;
  // Why the transaction was rolled back.
  std::string m_reason;
  Time m_started_at;
  Time m_last_used;
};

// The explicit transactions of callers at this instance.
class TransactionTable {
 public:
  explicit TransactionTable(InstanceId self) : m_self(std::move(self)) {}

  // Adds a transaction with a new random id, so that callers cannot guess the
  // ids of others. Returns the stored transaction.
  Transaction& Add(Transaction transaction, Context& context);

  // Return the transaction, or nullptr if there is none.
  Transaction* Find(const TransactionId& id);
  Transaction* FindByConnection(ConnectionId connection);

  // Marks a transaction as rolled back. It then no longer owns its connection.
  void Abort(Transaction* transaction, std::string reason, Context& context);

  void Remove(const TransactionId& id);

  // Returns the idle transactions that have been idle or open for too long.
  std::vector<TransactionId> Overdue(Time now) const;

  // Removes aborted transactions whose retention time has passed.
  void RemoveExpired(Time now);

  // Number of transactions that are not aborted.
  size_t OpenCount() const { return m_by_connection.size(); }

 private:
  InstanceId m_self;
  std::unordered_map<TransactionId, Transaction> m_transactions;
  std::unordered_map<ConnectionId, TransactionId> m_by_connection;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_TRANSACTION_TABLE_H_
