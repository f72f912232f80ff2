#ifndef SRC_DATABASES_ERROR_H_
#define SRC_DATABASES_ERROR_H_

#include <string>

namespace jasminelug::databases {

enum class ErrorKind {
  // No connection came about; nothing was run.
  kConnectFailed,
  // The member answered with an error and then was ready again: the
  // statement's transaction was not committed.
  kRejected,
  // As kRejected, because the request id had been recorded before.
  kDuplicateRequest,
  // The connection ended or timed out before the answer was complete.
  kConnectionLost,
  // The answer was complete but is not what the call returns.
  kUnexpectedAnswer,
};

// Why a call to a member failed.
struct Error {
  ErrorKind m_kind = ErrorKind::kConnectionLost;
  // Of kConnectFailed: nothing listens at the address.
  bool m_refused = false;
  // Of kConnectionLost: the statement may have reached the member, so that
  // its outcome is unknown. Otherwise it was not run.
  bool m_after_send = false;
  // The five characters of SQLSTATE, empty where the member sent none.
  std::string m_sqlstate;
  std::string m_message;

  bool operator==(const Error&) const = default;
};

// SQLSTATE of a member that has no connection left.
inline constexpr char kTooManyConnections[] = "53300";

// SQLSTATE of a write on a member that is not the primary.
inline constexpr char kReadOnly[] = "25006";

// The table that records request ids; see docs/ASSUMPTIONS.md.
inline constexpr char kRequestTable[] = "jasminelug_requests";

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_ERROR_H_
