#include "src/callers/caller_error.h"

#include "src/common/assert.h"

namespace jasminelug::callers {
namespace {

struct CodeInfo {
  ErrorCode m_code;
  const char* m_name;
  int m_status;
};

constexpr CodeInfo kCodes[] = {
    {ErrorCode::kInvalidRequest, "invalid_request", 400},
    {ErrorCode::kKeyMissing, "key_missing", 401},
    {ErrorCode::kKeyUnknown, "key_unknown", 401},
    {ErrorCode::kKeyWithdrawn, "key_withdrawn", 401},
    {ErrorCode::kNotAllowed, "not_allowed", 403},
    {ErrorCode::kUnknownPath, "unknown_path", 404},
    {ErrorCode::kUnknownDatabase, "unknown_database", 404},
    {ErrorCode::kUnknownProfile, "unknown_profile", 404},
    {ErrorCode::kUnknownTransaction, "unknown_transaction", 404},
    {ErrorCode::kMethodNotAllowed, "method_not_allowed", 405},
    {ErrorCode::kConflict, "conflict", 409},
    {ErrorCode::kBodyTooLarge, "body_too_large", 413},
    {ErrorCode::kRateExceeded, "rate_exceeded", 429},
    {ErrorCode::kInternal, "internal", 500},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown", 502},
    {ErrorCode::kUnavailable, "unavailable", 503},
    {ErrorCode::kShuttingDown, "shutting_down", 503},
    {ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504},
};

const CodeInfo& GetInfo(ErrorCode code) {
  const CodeInfo& info = kCodes[static_cast<std::size_t>(code)];
  JASMINELUG_ASSERT(info.m_code == code, ERROR_CODES_ARE_IN_ORDER);
  return info;
}

}  // namespace

const char* GetName(ErrorCode code) {
  return GetInfo(code).m_name;
}

int GetHttpStatus(ErrorCode code) {
  return GetInfo(code).m_status;
}

}  // namespace jasminelug::callers
