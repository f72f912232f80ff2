#ifndef SRC_PLATFORM_INTERNAL_ANSWER_H_
#define SRC_PLATFORM_INTERNAL_ANSWER_H_

#include <string>

#include "jasminelug/common.h"
#include "jasminelug/http2.h"
#include "src/platform/error.h"

namespace jasminelug::platform::internal {

// Whether a call may change the platform's objects.
enum class Effect { kNone, kChange };

// Returns the body of a 200 response, or this package's error for what came
// in its place. A call without effect never has an unknown outcome.
Result<std::string, Error> InterpretAnswer(const http2::ClientResult& result,
                                           Effect effect);

// The error for a 200 response whose body cannot be read.
Error UnreadableAnswer(Effect effect);

}  // namespace jasminelug::platform::internal

#endif  // SRC_PLATFORM_INTERNAL_ANSWER_H_
