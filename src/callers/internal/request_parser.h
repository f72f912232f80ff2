#ifndef SRC_CALLERS_INTERNAL_REQUEST_PARSER_H_
#define SRC_CALLERS_INTERNAL_REQUEST_PARSER_H_

#include <string>

#include "src/callers/caller_error.h"
#include "src/callers/caller_request.h"
#include "src/common/result.h"
#include "src/http2/request.h"

namespace jasminelug::callers::internal {

// Returns the path of `request` without its query.
std::string GetPath(const http2::Request& request);

// Turns a POST request into what it asks for. Looks at the path first, then the
// key, then the body; an error of the body names every wrong field. All errors
// mean that nothing was run, and none holds the key.
Result<CallerRequest, CallerError> ParseRequest(const http2::Request& request);

}  // namespace jasminelug::callers::internal

#endif  // SRC_CALLERS_INTERNAL_REQUEST_PARSER_H_
