#ifndef SRC_OPERATORS_INTERNAL_TIMELINE_QUERY_PARSER_H_
#define SRC_OPERATORS_INTERNAL_TIMELINE_QUERY_PARSER_H_

#include <string_view>

#include "src/common/result.h"
#include "src/operators/admin_error.h"
#include "src/operators/timeline_query.h"

namespace jasminelug::operators::internal {

// Parses the percent-encoded query part of `target`, a path with its query. An
// unknown or badly encoded parameter is an error, so that a misspelt filter
// does not select all entries.
Result<TimelineQuery, AdminError> ParseTimelineQuery(std::string_view target);

}  // namespace jasminelug::operators::internal

#endif  // SRC_OPERATORS_INTERNAL_TIMELINE_QUERY_PARSER_H_
