#ifndef SRC_GATEWAY_ANSWER_H_
#define SRC_GATEWAY_ANSWER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Reason why a statement has no result. See GuaranteesNoEffect().
enum class ErrorCode {
  kBusy,              // Not run for lack of capacity.
  kAborted,           // The transaction was rolled back.
  kLagging,           // Not run: the log lacks the position asked for.
  kReadOnly,          // Not run: the member is not the primary.
  kWrongMember,       // Not run: another member is at this address.
  kConnectionLimit,   // Not run: the member has too many connections.
  kUnknownStatement,  // Not run: no such prepared name.
  kFailed,            // Run, and failed.
  kTimeout,           // Run, for too long.
  kInDoubt,           // The commit or write may have taken effect.
  kUnauthorized,      // The key is not valid here.
  kUnknownDatabase,   // No route serves this database.
  kMalformed,         // The statement cannot be read or is out of place.
};

// Returns whether `code` guarantees to the caller that its attempt has no
// effect on the data.
bool GuaranteesNoEffect(ErrorCode code);

// Returns the name of `code` for logs and metrics.
const char* NameOf(ErrorCode code);

// Transaction state of a session or of a member connection.
enum class TransactionState { kNone, kOpen, kFailed };

// Result of a statement that succeeded: the rows as the member sent them, and
// the member's signature over them.
struct Completed {
  friend bool operator==(const Completed&, const Completed&) = default;

  std::vector<std::string> m_rows;
  // The member's signature; empty if the gateway itself made the answer.
  std::string m_signature;
};

// Result of a statement that was not run, failed or has an unknown outcome.
struct Refused {
  friend bool operator==(const Refused&, const Refused&) = default;

  ErrorCode m_code = ErrorCode::kFailed;
  // One line of text for the caller's log.
  std::string m_message;
  // The statement was not run, and another instance may be able to run it. Set
  // only in messages between instances.
  bool m_try_elsewhere = false;
};

using Outcome = std::variant<Completed, Refused>;

// An answer from a member to the gateway or from the gateway to a caller.
struct Answer {
  friend bool operator==(const Answer&, const Answer&) = default;

  Outcome m_outcome;
  TransactionState m_state = TransactionState::kNone;
  // Position of the member's log when it answered.
  std::optional<LogPosition> m_position;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_ANSWER_H_
