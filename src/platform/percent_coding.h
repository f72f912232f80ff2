#ifndef SRC_PLATFORM_PERCENT_CODING_H_
#define SRC_PLATFORM_PERCENT_CODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace jasminelug::platform {

// Returns `text` for use in a path or a query: all characters except the
// unreserved ones of RFC 3986 are encoded as "%XX".
std::string PercentEncode(std::string_view text);

// Decodes percent-encoded text. Returns no value if a "%" is not followed by
// two hexadecimal digits.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_PERCENT_CODING_H_
