#ifndef SRC_HTTP2_HEADER_H_
#define SRC_HTTP2_HEADER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelug::http2 {

// A header field. Its name is in lower case, as HTTP/2 requires.
struct Header {
  bool operator==(const Header&) const = default;

  std::string m_name;
  std::string m_value;
};

using Headers = std::vector<Header>;

// Returns the value of the first header called `name`, or nullopt if there is
// none. `name` must be in lower case.
std::optional<std::string> FindHeader(const Headers& headers,
                                      std::string_view name);

}  // namespace jasminelug::http2

#endif  // SRC_HTTP2_HEADER_H_
