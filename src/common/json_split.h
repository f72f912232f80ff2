#ifndef SRC_COMMON_JSON_SPLIT_H_
#define SRC_COMMON_JSON_SPLIT_H_

#include <optional>
#include <string_view>
#include <vector>

namespace jasminelug {

// A member of a JSON object, as raw text. Both views refer to the text that was
// split.
struct JsonMember {
  friend bool operator==(const JsonMember&, const JsonMember&) = default;

  // The name without quotes; escape sequences are not decoded.
  std::string_view m_name;
  std::string_view m_value;
};

// Splits the text of a JSON object into its members, or of a JSON list into its
// items, without parsing the values. Returns nullopt if the brackets, commas or
// colons of the object or list do not match.
//
// Serves readers of documents that several writers share: each value can be
// parsed by itself, so that one value that cannot be parsed does not hide the
// others. Nesting of any depth is skipped without recursion.
//
// Example:
//   for (std::string_view item : *SplitJsonList("[1, [2, 3], 1e999]")) {
//     ParseJson(item, JsonComments::kRefused);
//   }
//
// See also: ParseJson(), FindJsonMember().
std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> SplitJsonList(
    std::string_view text);

// Returns the raw text of the first member with this name, or nullopt if there
// is none.
std::optional<std::string_view> FindJsonMember(
    const std::vector<JsonMember>& members,
    std::string_view name);

}  // namespace jasminelug

#endif  // SRC_COMMON_JSON_SPLIT_H_
