#ifndef SRC_COMMON_JSON_DOCUMENT_H_
#define SRC_COMMON_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>

#include <string_view>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug {

// Whether a document may contain "//" and "/* */" comments.
enum class JsonComments { kAllowed, kRefused };

// Parses `text`. A syntax error is reported with its line and column. A
// duplicate name in an object is an error, too; nlohmann::json alone would
// silently keep one of the values.
Result<nlohmann::json, FieldErrors> ParseJson(std::string_view text,
                                              JsonComments comments);

}  // namespace jasminelug

#endif  // SRC_COMMON_JSON_DOCUMENT_H_
