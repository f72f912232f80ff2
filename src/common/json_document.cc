#include "src/common/json_document.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace jasminelug {
namespace {

using Json = nlohmann::json;

// Maximum nesting depth. Valid documents are far less deep; the limit rejects
// others before parsing them takes much memory.
constexpr int kMaxDepth = 32;

// Receives each event of the parser and collects the errors that the parser
// does not detect: duplicate names and excessive nesting.
class DocumentChecker {
 public:
  // Handles one event. Returns whether the parser should keep the element.
  bool Check(int depth, Json::parse_event_t event, const Json& parsed) {
    if (depth >= kMaxDepth) {
      m_too_deep = true;
      return false;
    }
    if (event == Json::parse_event_t::object_start) {
      m_objects.emplace_back();
    }
    if (event == Json::parse_event_t::object_end) {
      m_objects.pop_back();
    }
    if (event == Json::parse_event_t::key) {
      CheckName(parsed.get_ref<const std::string&>());
    }
    return true;
  }

  FieldErrors Errors() const {
    FieldErrors errors = m_errors;
    if (m_too_deep) {
      errors.push_back({"", "the document is nested too deeply"});
    }
    return errors;
  }

 private:
  // An object whose end has not been parsed yet.
  struct OpenObject {
    std::set<std::string> m_names;
    std::string m_last_name;
  };

  void CheckName(const std::string& name) {
    OpenObject& object = m_objects.back();
    object.m_last_name = name;
    if (!object.m_names.insert(name).second) {
      m_errors.push_back({Path(), "the name stands twice in one object"});
    }
  }

  // Returns the path of the name parsed last, without the indexes of list
  // items.
  std::string Path() const {
    std::string path;
    for (const OpenObject& object : m_objects) {
      path += (path.empty() ? "" : ".") + object.m_last_name;
    }
    return path;
  }

  std::vector<OpenObject> m_objects;
  FieldErrors m_errors;
  bool m_too_deep = false;
};

// Returns an error with the line and column of a syntax error. `byte` is its
// position in `text`, starting at 1.
FieldError MakeSyntaxError(std::string_view text, std::size_t byte) {
  const std::size_t offset = std::min(text.size(), byte > 0 ? byte - 1 : 0);
  const std::string_view before = text.substr(0, offset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t line_start = before.rfind('\n') + 1;
  const std::size_t column = offset - line_start + 1;
  return {"", "not valid JSON at line " + std::to_string(line) + ", column " +
                  std::to_string(column)};
}

}  // namespace

Result<Json, FieldErrors> ParseJson(std::string_view text,
                                    JsonComments comments) {
  DocumentChecker checker;
  const auto callback = [&checker](int depth, Json::parse_event_t event,
                                   Json& parsed) {
    return checker.Check(depth, event, parsed);
  };
  try {
    Json document = Json::parse(text, callback, /*allow_exceptions=*/true,
                                comments == JsonComments::kAllowed);
    FieldErrors errors = checker.Errors();
    if (!errors.empty()) {
      return errors;
    }
    return document;
  } catch (const Json::parse_error& error) {
    return FieldErrors{MakeSyntaxError(text, error.byte)};
  } catch (const Json::exception&) {
    return FieldErrors{{"", "holds a number that is out of range"}};
  }
}

}  // namespace jasminelug
