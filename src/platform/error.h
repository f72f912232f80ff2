#ifndef SRC_PLATFORM_ERROR_H_
#define SRC_PLATFORM_ERROR_H_

#include <optional>
#include <string>

#include "src/platform/object.h"

namespace jasminelug::platform {

// The kind of a failed call. With kOutcomeUnknown the call may have taken
// effect or may still do so; with all other kinds it did not and will not.
enum class ErrorKind {
  kConflict,        // Another version is current.
  kNotFound,        // The object does not exist.
  kRefused,         // The platform refuses the call; a retry fails as well.
  kUnavailable,     // The platform does not answer; a retry may succeed.
  kOutcomeUnknown,  // The change may have taken effect, or may still do so.
};

// An error of this package. The message is meant for the log.
struct Error {
  ErrorKind m_kind = ErrorKind::kUnavailable;
  std::string m_message;
  // For kConflict: the current object, if the platform's answer contains it.
  std::optional<Object> m_current;
  // For kNotFound of a deleted object: the write id of the deletion.
  std::string m_deleted_by;

  bool operator==(const Error&) const = default;
};

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_ERROR_H_
