#ifndef SRC_COMMON_RESULT_H_
#define SRC_COMMON_RESULT_H_

#include <utility>
#include <variant>

#include "src/common/assert.h"

namespace jasminelug {

// Either a value of type T or an error of type E; the two types must differ.
// Both convert implicitly, so a function ends with `return value;` or
// `return error;`. See IsOk, GetValue, TakeValue and GetError.
template <typename T, typename E>
using Result = std::variant<T, E>;

// The value of a result that says no more than that something was done.
using Done = std::monostate;

// Returns whether `result` holds a value.
template <typename T, typename E>
bool IsOk(const Result<T, E>& result) {
  return result.index() == 0;
}

// Returns the value; `result` must be ok.
template <typename T, typename E>
const T& GetValue(const Result<T, E>& result) {
  JASMINELUG_ASSERT(IsOk(result), RESULT_HOLDS_A_VALUE);
  return *std::get_if<0>(&result);
}

// Moves the value out; `result` must be ok.
template <typename T, typename E>
T TakeValue(Result<T, E>&& result) {
  JASMINELUG_ASSERT(IsOk(result), RESULT_HOLDS_A_VALUE);
  return std::move(*std::get_if<0>(&result));
}

// Returns the error; `result` must not be ok.
template <typename T, typename E>
const E& GetError(const Result<T, E>& result) {
  JASMINELUG_ASSERT(!IsOk(result), RESULT_HOLDS_AN_ERROR);
  return *std::get_if<1>(&result);
}

}  // namespace jasminelug

#endif  // SRC_COMMON_RESULT_H_
