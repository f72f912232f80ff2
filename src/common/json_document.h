#ifndef SRC_COMMON_JSON_DOCUMENT_H_
#define SRC_COMMON_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>

#include <string_view>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug {

// Whether "//" and "/* */" comments may stand in a document.
enum class JsonComments { kAllowed, kRefused };

// Parses `text`. A syntax error is reported with its line and column; a name
// that stands twice in an object is an error too, where the usual parser would
// keep one of the two without a word.
Result<nlohmann::json, FieldErrors> ParseJson(std::string_view text,
                                              JsonComments comments);

}  // namespace jasminelug

#endif  // SRC_COMMON_JSON_DOCUMENT_H_
