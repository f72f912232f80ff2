#ifndef SRC_CALLERS_CALLER_ERROR_H_
#define SRC_CALLERS_CALLER_ERROR_H_

#include <chrono>
#include <optional>
#include <string>

namespace jasminelug::callers {

// What went wrong, each with its name in the JSON and its HTTP status.
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
};

// Whether the request had any effect.
enum class Execution {
  // Provably not, now or later.
  kNotRun,
  // It ran, and its failure is the result.
  kRun,
  kUnknown,
};

// Why a request has no result.
struct CallerError {
  bool operator==(const CallerError&) const = default;

  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_message;
  // The first field of the body that is wrong, if any is.
  std::optional<std::string> m_field;
  Execution m_execution = Execution::kUnknown;
  // When to come again.
  std::optional<std::chrono::milliseconds> m_retry_after;
};

// Returns the name, such as "invalid_request".
const char* GetName(ErrorCode code);

// Returns the HTTP status.
int GetHttpStatus(ErrorCode code);

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_ERROR_H_
