#ifndef SRC_GATEWAY_STATEMENT_H_
#define SRC_GATEWAY_STATEMENT_H_

#include <optional>
#include <string>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// What a caller's statement asks for.
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

// Whether a prepared statement reads or writes.
enum class Access { kRead, kWrite };

// What a prepared name stands for.
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
  // The whole text, forwarded unchanged where a member runs it.
  std::string m_text;
  // Name of the session value or of the prepared statement, where it has one.
  std::string m_name;
  // What follows the name: the value, or the arguments of an execution.
  std::string m_argument;
  // Access and shape of a kPrepare.
  PreparedShape m_prepared;
};

// What the gateway sends on a member connection.
enum class MemberVerb {
  kForward,        // m_text, as the caller sent it.
  kExecute,        // m_argument on the connection's own prepared name m_name.
  kSetValue,       // m_name becomes m_argument.
  kPrepare,        // m_name stands for m_prepared.
  kReset,          // Drops all values and prepared names.
  kBegin,          // Opens a transaction.
  kBeginReadOnly,  // Opens a transaction that only reads.
  kRollback,
  kStatus,
  kStepDown,  // A primary below m_term becomes a replica.
};

// A statement on its way to a member.
struct MemberStatement {
  friend bool operator==(const MemberStatement&,
                         const MemberStatement&) = default;

  // The caller's id; empty for statements of the gateway's own.
  std::string m_id;
  MemberVerb m_verb = MemberVerb::kForward;
  // The member answers "lagging" unless its log holds this position.
  std::optional<LogPosition> m_after;
  std::string m_text;
  std::string m_name;
  std::string m_argument;
  PreparedShape m_prepared;
  Term m_term;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STATEMENT_H_
