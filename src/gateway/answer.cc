#include "src/gateway/answer.h"

namespace jasminelug::gateway {

bool GuaranteesNoEffect(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
    case ErrorCode::kAborted:
    case ErrorCode::kLagging:
    case ErrorCode::kReadOnly:
    case ErrorCode::kWrongMember:
    case ErrorCode::kConnectionLimit:
      return true;
    default:
      return false;
  }
}

const char* NameOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
      return "busy";
    case ErrorCode::kAborted:
      return "aborted";
    case ErrorCode::kLagging:
      return "lagging";
    case ErrorCode::kReadOnly:
      return "read_only";
    case ErrorCode::kWrongMember:
      return "wrong_member";
    case ErrorCode::kConnectionLimit:
      return "connection_limit";
    case ErrorCode::kUnknownStatement:
      return "unknown_statement";
    case ErrorCode::kFailed:
      return "failed";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kInDoubt:
      return "in_doubt";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kUnknownDatabase:
      return "unknown_database";
    case ErrorCode::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace jasminelug::gateway
