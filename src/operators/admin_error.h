#ifndef SRC_OPERATORS_ADMIN_ERROR_H_
#define SRC_OPERATORS_ADMIN_ERROR_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug::operators {

// The reason why a request to the operators' API failed.
struct AdminError {
  enum class Kind {
    kBadRequest,   // Malformed, or it names something that does not exist.
    kNotFound,     // The path does not exist.
    kRefused,      // The instance's state does not allow it; it had no effect.
    kUnavailable,  // A required service is unreachable; it had no effect.
    kUnknown,      // The request may have taken effect.
  };

  bool operator==(const AdminError&) const = default;

  Kind m_kind = Kind::kRefused;
  std::string m_message;
};

// Returns the code of the kind in JSON, e.g. "bad_request".
const char* ToString(AdminError::Kind kind);

// Returns the HTTP status of an answer with an error of this kind.
int StatusOf(AdminError::Kind kind);

// Formats the error as {"error":{"code":...,"message":...}}.
nlohmann::json ToJson(const AdminError& error);
Result<AdminError, FieldErrors> ParseAdminError(std::string_view text);

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_ADMIN_ERROR_H_
