#ifndef SRC_CALLERS_INTERNAL_ANSWER_FORMATTER_H_
#define SRC_CALLERS_INTERNAL_ANSWER_FORMATTER_H_

#include "src/callers/caller_answer.h"
#include "src/http2/response.h"

namespace jasminelug::callers::internal {

// Formats `answer` as an HTTP response with a JSON body. A result with a value
// that is not valid UTF-8 can't be written as JSON; it becomes an error with
// Execution::kRun, since the request was run.
http2::Response FormatAnswer(const CallerAnswer& answer);

// Returns the response of /healthz and /readyz: status 200 if `ok`, else 503.
http2::Response FormatProbe(bool ok);

}  // namespace jasminelug::callers::internal

#endif  // SRC_CALLERS_INTERNAL_ANSWER_FORMATTER_H_
