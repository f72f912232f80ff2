#ifndef SRC_PLATFORM_PERCENT_CODING_H_
#define SRC_PLATFORM_PERCENT_CODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace jasminelug::platform {

// Returns `text` with all but the unreserved characters of RFC 3986 as "%XX",
// to stand in a path or a query.
std::string PercentEncode(std::string_view text);

// The inverse; returns nothing where a "%" has no two hexadecimal digits.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_PERCENT_CODING_H_
