#ifndef SRC_CALLERS_INTERNAL_REQUEST_PARSER_H_
#define SRC_CALLERS_INTERNAL_REQUEST_PARSER_H_

#include <string>

#include "src/callers/caller_error.h"
#include "src/callers/caller_request.h"
#include "src/common/result.h"
#include "src/http2/request.h"

namespace jasminelug::callers::internal {

// Returns the path of `request` without its query string.
std::string GetPath(const http2::Request& request);

// Parses an API request. Checks the path, the method, the key and the body, in
// this order, and returns the first error; an error of the body lists all
// invalid fields. Every error has Execution::kNotRun, and none contains the
// key.
Result<CallerRequest, CallerError> ParseRequest(const http2::Request& request);

}  // namespace jasminelug::callers::internal

#endif  // SRC_CALLERS_INTERNAL_REQUEST_PARSER_H_
