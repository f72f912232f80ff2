#ifndef SRC_GATEWAY_STATEMENT_H_
#define SRC_GATEWAY_STATEMENT_H_

#include <optional>
#include <string>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Kind of a caller's statement.
enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kRelease,
  kMalformed,
};

// Access of a prepared statement to the data.
enum class Access { kRead, kWrite };

// Definition of a prepared statement: its access and its shape, which is the
// statement without its arguments.
struct PreparedShape {
  friend auto operator<=>(const PreparedShape&, const PreparedShape&) = default;

  Access m_access = Access::kRead;
  std::string m_shape;
};

// A statement as the caller sent it.
struct Statement {
  friend bool operator==(const Statement&, const Statement&) = default;

  // The caller's id of the statement; it is forwarded unchanged.
  std::string m_id;
  StatementKind m_kind = StatementKind::kMalformed;
  // The complete text; it is forwarded unchanged if a member runs it.
  std::string m_text;
  // Name of the session value or of the prepared statement; empty if the kind
  // has none.
  std::string m_name;
  // Text after the name: the value, or the arguments of an execution.
  std::string m_argument;
  // Definition of the prepared statement, for kPrepare. In a forwarded
  // statement also set for kExecute.
  PreparedShape m_prepared;
};

// Kind of a statement that the gateway sends on a member connection.
enum class MemberVerb {
  kForward,        // Runs m_text, which is as the caller sent it.
  kExecute,        // Runs the prepared statement m_name with m_argument.
  kSetValue,       // Sets the session value m_name to m_argument.
  kPrepare,        // Prepares m_prepared under the name m_name.
  kReset,          // Drops all values and prepared statements.
  kBegin,          // Opens a transaction.
  kBeginReadOnly,  // Opens a transaction that only reads.
  kStatus,
  kStepDown,  // Makes a primary with a term below m_term a replica.
};

// A statement that the gateway sends to a member.
struct MemberStatement {
  friend bool operator==(const MemberStatement&,
                         const MemberStatement&) = default;

  // The caller's id of the statement; empty for statements that the gateway
  // itself issues.
  std::string m_id;
  MemberVerb m_verb = MemberVerb::kForward;
  // Log position that the member must hold; otherwise it answers "lagging".
  std::optional<LogPosition> m_after;
  std::string m_text;
  std::string m_name;
  std::string m_argument;
  PreparedShape m_prepared;
  Term m_term;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STATEMENT_H_
