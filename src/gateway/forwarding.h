#ifndef SRC_GATEWAY_FORWARDING_H_
#define SRC_GATEWAY_FORWARDING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/gateway/answer.h"
#include "src/gateway/configuration.h"
#include "src/gateway/ids.h"
#include "src/gateway/statement.h"

namespace jasminelug::gateway {

// Number of an operation that one instance runs for another. The sender assigns
// it. No other run of this or another instance uses it; see ForwardTable.
using OperationId = core::Number<struct OperationTag>;

// Number of a statement within its operation, from 1. Unset in the messages of
// an earlier version.
using StatementNumber = std::optional<std::int32_t>;

// Kind of transaction that a forwarded statement belongs to.
enum class TransactionMode { kNone, kReadWrite, kReadOnly };

// A session's last commit. It carries its age at the time of sending instead of
// a time, because the clocks of two instances cannot be compared.
struct AgedCommit {
  friend bool operator==(const AgedCommit&, const AgedCommit&) = default;

  Duration m_age{0};
  LogPosition m_position;
};

// A statement that is sent to an instance that holds connections to its group.
// It carries all that the holder needs to know about the caller's session. The
// sender has checked the caller's key; the holder counts the operation against
// the customer's limits.
struct ForwardedStatement {
  friend bool operator==(const ForwardedStatement&,
                         const ForwardedStatement&) = default;

  OperationId m_operation;
  StatementNumber m_number;
  // Whether this is the first statement of its operation.
  bool m_starts_operation = true;
  TransactionMode m_transaction = TransactionMode::kNone;
  CustomerName m_customer;
  // The route in the sender's configuration, with the statement timeout and the
  // objective reduced to the time that is left of them.
  Route m_route;
  // The statement; for kExecute it includes the prepared shape.
  Statement m_statement;
  // The session's values.
  std::map<std::string, std::string> m_values;
  std::optional<AgedCommit> m_last_commit;
};

// The answer to a forwarded statement, with that statement's numbers. Its log
// position is that of the session's last commit.
struct ForwardedAnswer {
  friend bool operator==(const ForwardedAnswer&,
                         const ForwardedAnswer&) = default;

  OperationId m_operation;
  StatementNumber m_number;
  Answer m_answer;
};

// Cancels an operation. The holder rolls back an open transaction.
struct ForwardedEnd {
  friend bool operator==(const ForwardedEnd&, const ForwardedEnd&) = default;

  OperationId m_operation;
};

// Asks an unresponsive holder whether it is reachable. It replies with
// ForwardProgress.
struct ForwardPing {
  friend bool operator==(const ForwardPing&, const ForwardPing&) = default;
};

// Lists the operations of the receiving instance that the holder is running and
// has not answered yet.
struct ForwardProgress {
  friend bool operator==(const ForwardProgress&,
                         const ForwardProgress&) = default;

  std::vector<OperationId> m_operations;
};

using ForwardMessage = std::variant<ForwardedStatement,
                                    ForwardedAnswer,
                                    ForwardedEnd,
                                    ForwardPing,
                                    ForwardProgress>;

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FORWARDING_H_
