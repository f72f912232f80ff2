#ifndef SRC_PLATFORM_ERROR_H_
#define SRC_PLATFORM_ERROR_H_

#include <optional>
#include <string>

#include "src/platform/object.h"

namespace jasminelug::platform {

// How a call failed. Only kOutcomeUnknown leaves open whether this call took
// effect; all others prove that it did not and will not.
enum class ErrorKind {
  kConflict,        // Another version is current.
  kNotFound,        // The object does not exist.
  kRefused,         // The platform refuses the call; a retry is no use.
  kUnavailable,     // The platform does not answer; a retry may succeed.
  kOutcomeUnknown,  // The change may have taken effect, or may still do so.
};

// An error of this package, with a text for the log.
struct Error {
  ErrorKind m_kind = ErrorKind::kUnavailable;
  std::string m_message;
  // The current object of a kConflict, if the platform named it.
  std::optional<Object> m_current;
  // The write id of the deletion, for a kNotFound of a deleted object.
  std::string m_deleted_by;

  bool operator==(const Error&) const = default;
};

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_ERROR_H_
