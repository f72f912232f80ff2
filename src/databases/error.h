#ifndef SRC_DATABASES_ERROR_H_
#define SRC_DATABASES_ERROR_H_

#include <string>

namespace jasminelug::databases {

enum class ErrorKind {
  // The connection could not be established; nothing was run.
  kConnectFailed,
  // The member answered with an error and was then ready for the next
  // statement. The statement's transaction was not committed.
  kRejected,
  // As kRejected, because the request id was already recorded.
  kDuplicateRequest,
  // The connection ended or timed out before the answer was complete.
  kConnectionLost,
  // The answer was complete but does not have the form that the call expects.
  kUnexpectedAnswer,
};

// The reason why a call to a member failed.
struct Error {
  ErrorKind m_kind = ErrorKind::kConnectionLost;
  // For kConnectFailed: whether the connection was refused because nothing
  // listens at the address.
  bool m_refused = false;
  // For kConnectionLost: whether the statement may have reached the member, so
  // that its outcome is unknown. If false, the statement was not run.
  bool m_after_send = false;
  // The five characters of the SQLSTATE; empty if the member sent none.
  std::string m_sqlstate;
  std::string m_message;

  bool operator==(const Error&) const = default;
};

// SQLSTATE of a member whose limit of connections is reached.
inline constexpr char kTooManyConnections[] = "53300";

// SQLSTATE of a write that was sent to a member other than the primary.
inline constexpr char kReadOnly[] = "25006";

// The table that records request ids; see docs/ASSUMPTIONS.md.
inline constexpr char kRequestTable[] = "jasminelug_requests";

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_ERROR_H_
