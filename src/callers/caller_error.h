#ifndef SRC_CALLERS_CALLER_ERROR_H_
#define SRC_CALLERS_CALLER_ERROR_H_

#include <chrono>
#include <optional>
#include <string>

namespace jasminelug::callers {

// Identifies the reason for an error. Each code has a name for the JSON body,
// see GetName, and an HTTP status, see GetHttpStatus; the comments on the
// enumerators give the status.
enum class ErrorCode {
  kInvalidRequest,      // 400
  kKeyMissing,          // 401
  kKeyUnknown,          // 401
  kKeyWithdrawn,        // 401
  kNotAllowed,          // 403
  kUnknownPath,         // 404
  kUnknownDatabase,     // 404
  kUnknownProfile,      // 404
  kUnknownTransaction,  // 404
  kMethodNotAllowed,    // 405
  kConflict,            // 409
  kBodyTooLarge,        // 413
  kRateExceeded,        // 429
  kInternal,            // 500
  kOutcomeUnknown,      // 502
  kUnavailable,         // 503
  kShuttingDown,        // 503
  kDeadlineExceeded,    // 504
  kKeyUnconfirmed,      // 503
  kDatabaseLeaving,     // 503
  kOverloaded,          // 503
  kZoneOut,             // 503
  kRejectedByDatabase,  // 422
  kTransactionAborted,  // 409
};

// States whether a failed request was run on the database.
enum class Execution {
  // The request was not run and never will be.
  kNotRun,
  // The request was run, and the error is its result.
  kRun,
  // It is not known whether the request was or will be run.
  kUnknown,
};

// The error that a caller receives instead of a result.
struct CallerError {
  bool operator==(const CallerError&) const = default;

  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_message;
  // Path of the first invalid field of the request's body, if there is one.
  std::optional<std::string> m_field;
  Execution m_execution = Execution::kUnknown;
  // Minimum time before the caller should retry the request.
  std::optional<std::chrono::milliseconds> m_retry_after;
  // The new session token. Set if the request may have written data that the
  // session's later requests must read.
  std::optional<std::string> m_session = std::nullopt;
};

// Returns the name of `code` in the JSON body, such as "invalid_request".
const char* GetName(ErrorCode code);

// Returns the HTTP status of `code`.
int GetHttpStatus(ErrorCode code);

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_ERROR_H_
