#ifndef SRC_OPERATORS_INTERNAL_TIMELINE_QUERY_PARSER_H_
#define SRC_OPERATORS_INTERNAL_TIMELINE_QUERY_PARSER_H_

#include <string_view>

#include "src/common/result.h"
#include "src/operators/admin_error.h"
#include "src/operators/timeline_query.h"

namespace jasminelug::operators::internal {

// Reads the percent-coded query of `target`, a path with its query. A parameter
// that is unknown or badly coded is an error, so that a misspelt filter never
// selects all.
Result<TimelineQuery, AdminError> ParseTimelineQuery(std::string_view target);

}  // namespace jasminelug::operators::internal

#endif  // SRC_OPERATORS_INTERNAL_TIMELINE_QUERY_PARSER_H_
