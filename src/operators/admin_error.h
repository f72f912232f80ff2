#ifndef SRC_OPERATORS_ADMIN_ERROR_H_
#define SRC_OPERATORS_ADMIN_ERROR_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug::operators {

// Why a request of the operators' API failed.
struct AdminError {
  enum class Kind {
    kBadRequest,   // Malformed, or it names what does not exist.
    kNotFound,     // No such path.
    kRefused,      // The instance's state does not allow it; not done.
    kUnavailable,  // What it needs can't be reached; not done.
    kUnknown,      // It may have been done.
  };

  bool operator==(const AdminError&) const = default;

  Kind m_kind = Kind::kRefused;
  std::string m_message;
};

// Returns the kind as it stands in JSON, e.g. "bad_request".
const char* ToString(AdminError::Kind kind);

// Returns the HTTP status of an answer with this error.
int StatusOf(AdminError::Kind kind);

// {"error":{"code":...,"message":...}}
nlohmann::json ToJson(const AdminError& error);
Result<AdminError, FieldErrors> ParseAdminError(std::string_view text);

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_ADMIN_ERROR_H_
