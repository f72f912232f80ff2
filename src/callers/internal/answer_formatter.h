#ifndef SRC_CALLERS_INTERNAL_ANSWER_FORMATTER_H_
#define SRC_CALLERS_INTERNAL_ANSWER_FORMATTER_H_

#include "src/callers/caller_answer.h"
#include "src/http2/response.h"

namespace jasminelug::callers::internal {

// Returns the response that carries `answer`. A result that JSON can't carry,
// because a value is not UTF-8, becomes an error that says that it ran.
http2::Response FormatAnswer(const CallerAnswer& answer);

// Returns the response of /healthz and /readyz.
http2::Response FormatProbe(bool ok);

}  // namespace jasminelug::callers::internal

#endif  // SRC_CALLERS_INTERNAL_ANSWER_FORMATTER_H_
