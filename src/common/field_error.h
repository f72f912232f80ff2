#ifndef SRC_COMMON_FIELD_ERROR_H_
#define SRC_COMMON_FIELD_ERROR_H_

#include <string>
#include <vector>

namespace jasminelug {

// An error in one field of a JSON document.
struct FieldError {
  bool operator==(const FieldError&) const = default;

  // The field's full path, such as "listen.port" or "members[2].address"; empty
  // if the error concerns the whole document.
  std::string m_field;
  // Describes the error. Must not contain the field's value, which may be a
  // secret.
  std::string m_message;
};

using FieldErrors = std::vector<FieldError>;

// Formats all errors, each with its field, as one line for a log or an answer
// to a caller.
std::string FormatFieldErrors(const FieldErrors& errors);

}  // namespace jasminelug

#endif  // SRC_COMMON_FIELD_ERROR_H_
