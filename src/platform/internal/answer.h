#ifndef SRC_PLATFORM_INTERNAL_ANSWER_H_
#define SRC_PLATFORM_INTERNAL_ANSWER_H_

#include <string>

#include "jasminelug/common.h"
#include "jasminelug/http2.h"
#include "src/platform/error.h"

namespace jasminelug::platform::internal {

// Whether a call may change the platform's objects.
enum class Effect { kNone, kChange };

// Returns the body of a 200 response, or the error that corresponds to any
// other result. For Effect::kNone the error is never kOutcomeUnknown.
Result<std::string, Error> InterpretAnswer(const http2::ClientResult& result,
                                           Effect effect);

// Returns the error for a 200 response whose body cannot be parsed.
Error UnreadableAnswer(Effect effect);

}  // namespace jasminelug::platform::internal

#endif  // SRC_PLATFORM_INTERNAL_ANSWER_H_
