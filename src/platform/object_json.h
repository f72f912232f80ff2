#ifndef SRC_PLATFORM_OBJECT_JSON_H_
#define SRC_PLATFORM_OBJECT_JSON_H_

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

#include "src/platform/object.h"

namespace jasminelug::platform {

// Conversion of the object API's types to and from JSON. The Parse functions
// that return an optional return no value if the text is not JSON or lacks a
// field.

nlohmann::json ToJson(const Object& object);
nlohmann::json ToJson(const ObjectList& list);
nlohmann::json ToJson(const ChangeList& list);
nlohmann::json ToJson(const InstanceList& list);

std::optional<Object> ParseObject(std::string_view text);
std::optional<ObjectList> ParseObjectList(std::string_view text);
std::optional<ChangeList> ParseChangeList(std::string_view text);
std::optional<InstanceList> ParseInstanceList(std::string_view text);

// Format and parse the body of a PUT request. The key is not in the body but in
// the path.
std::string FormatPutBody(const PutRequest& request);
std::optional<PutRequest> ParsePutBody(const ObjectKey& key,
                                       std::string_view text);

// The body of a response that is not 200.
struct ErrorBody {
  std::string m_code;
  std::string m_message;
  // Whether the platform states that the call had no effect and will have none.
  bool m_is_not_applied = false;
  std::optional<Object> m_current;
  std::string m_deleted_by;

  bool operator==(const ErrorBody&) const = default;
};

nlohmann::json ToJson(const ErrorBody& body);

// Parses an error body. Missing fields keep their default values; if the text
// is not JSON, all fields do.
ErrorBody ParseErrorBody(std::string_view text);

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_OBJECT_JSON_H_
