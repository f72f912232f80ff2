#ifndef SRC_COMMON_FIELD_ERROR_H_
#define SRC_COMMON_FIELD_ERROR_H_

#include <string>
#include <vector>

namespace jasminelug {

// One thing that is wrong with a JSON document.
struct FieldError {
  bool operator==(const FieldError&) const = default;

  // The full path, such as "listen.port" or "members[2].address"; empty for the
  // document as a whole.
  std::string m_field;
  // What is wrong, without the value that was read: it may be a secret.
  std::string m_message;
};

using FieldErrors = std::vector<FieldError>;

// Returns all errors in one line, each with its field, for a log or a caller.
std::string FormatFieldErrors(const FieldErrors& errors);

}  // namespace jasminelug

#endif  // SRC_COMMON_FIELD_ERROR_H_
