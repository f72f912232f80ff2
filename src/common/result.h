#ifndef SRC_COMMON_RESULT_H_
#define SRC_COMMON_RESULT_H_

#include <utility>
#include <variant>

#include "src/common/assert.h"

namespace jasminelug {

// Holds either a value of type T or an error of type E; the types must differ.
// Both convert to a Result implicitly, so that a function can end with
// `return value;` or `return error;`. See IsOk, GetValue, TakeValue and
// GetError.
template <typename T, typename E>
using Result = std::variant<T, E>;

// The value type of a Result that has no value on success.
using Done = std::monostate;

// Returns whether `result` holds a value.
template <typename T, typename E>
bool IsOk(const Result<T, E>& result) {
  return result.index() == 0;
}

// Returns the value. Requires IsOk(result).
template <typename T, typename E>
const T& GetValue(const Result<T, E>& result) {
  JASMINELUG_ASSERT(IsOk(result), RESULT_HOLDS_A_VALUE);
  return *std::get_if<0>(&result);
}

// Moves the value out of `result`. Requires IsOk(result).
template <typename T, typename E>
T TakeValue(Result<T, E>&& result) {
  JASMINELUG_ASSERT(IsOk(result), RESULT_HOLDS_A_VALUE);
  return std::move(*std::get_if<0>(&result));
}

// Returns the error. Requires !IsOk(result).
template <typename T, typename E>
const E& GetError(const Result<T, E>& result) {
  JASMINELUG_ASSERT(!IsOk(result), RESULT_HOLDS_AN_ERROR);
  return *std::get_if<1>(&result);
}

}  // namespace jasminelug

#endif  // SRC_COMMON_RESULT_H_
