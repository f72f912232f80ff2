#include "src/platform/object_json.h"

#include <functional>
#include <utility>

namespace jasminelug::platform {
namespace {

using nlohmann::json;

// Parses `text` as JSON and calls `read` with it. Returns no value if either
// throws a json::exception.
template <typename T>
std::optional<T> Parse(std::string_view text,
                       const std::function<T(const json&)>& read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

// Parses the value of an object. The value of a deletion is empty, and null in
// JSON.
json ParseValue(const std::string& value) {
  return value.empty() ? json() : json::parse(value);
}

Object ReadObject(const json& from) {
  return Object{from.at("kind").get<std::string>(),
                from.at("name").get<std::string>(),
                from.at("version").get<std::int64_t>(),
                from.at("revision").get<std::int64_t>(),
                from.at("value").dump(),
                from.at("write_id").get<std::string>()};
}

Change ReadChange(const json& from) {
  Change change{ReadObject(from.at("object")), from.at("deleted").get<bool>()};
  if (change.m_is_deletion) {
    change.m_object.m_value.clear();
  }
  return change;
}

Instance ReadInstance(const json& from) {
  return Instance{
      from.at("name").get<std::string>(), from.at("address").get<std::string>(),
      from.at("zone").get<std::string>(), from.at("leaving").get<bool>()};
}

template <typename T>
std::vector<T> ReadArray(const json& from,
                         const std::function<T(const json&)>& read) {
  std::vector<T> result;
  result.reserve(from.size());
  for (const json& item : from) {
    result.push_back(read(item));
  }
  return result;
}

}  // namespace

json ToJson(const Object& object) {
  return {{"kind", object.m_kind},
          {"name", object.m_name},
          {"version", object.m_version},
          {"revision", object.m_revision},
          {"value", ParseValue(object.m_value)},
          {"write_id", object.m_write_id}};
}

json ToJson(const ObjectList& list) {
  json objects = json::array();
  for (const Object& object : list.m_objects) {
    objects.push_back(ToJson(object));
  }
  return {{"revision", list.m_revision}, {"objects", std::move(objects)}};
}

json ToJson(const ChangeList& list) {
  json changes = json::array();
  for (const Change& change : list.m_changes) {
    changes.push_back({{"object", ToJson(change.m_object)},
                       {"deleted", change.m_is_deletion}});
  }
  return {{"revision", list.m_revision}, {"changes", std::move(changes)}};
}

json ToJson(const InstanceList& list) {
  json instances = json::array();
  for (const Instance& instance : list) {
    instances.push_back({{"name", instance.m_name},
                         {"address", instance.m_address},
                         {"zone", instance.m_zone},
                         {"leaving", instance.m_is_leaving}});
  }
  return {{"instances", std::move(instances)}};
}

std::optional<Object> ParseObject(std::string_view text) {
  return Parse<Object>(text, ReadObject);
}

std::optional<ObjectList> ParseObjectList(std::string_view text) {
  return Parse<ObjectList>(text, [](const json& from) {
    return ObjectList{from.at("revision").get<std::int64_t>(),
                      ReadArray<Object>(from.at("objects"), ReadObject)};
  });
}

std::optional<ChangeList> ParseChangeList(std::string_view text) {
  return Parse<ChangeList>(text, [](const json& from) {
    return ChangeList{from.at("revision").get<std::int64_t>(),
                      ReadArray<Change>(from.at("changes"), ReadChange)};
  });
}

std::optional<InstanceList> ParseInstanceList(std::string_view text) {
  return Parse<InstanceList>(text, [](const json& from) {
    return ReadArray<Instance>(from.at("instances"), ReadInstance);
  });
}

std::string FormatPutBody(const PutRequest& request) {
  return json{{"expected_version", request.m_expected_version},
              {"write_id", request.m_write_id},
              {"value", ParseValue(request.m_value)}}
      .dump();
}

std::optional<PutRequest> ParsePutBody(const ObjectKey& key,
                                       std::string_view text) {
  return Parse<PutRequest>(text, [&](const json& from) {
    return PutRequest{key, from.at("expected_version").get<std::int64_t>(),
                      from.at("value").dump(),
                      from.at("write_id").get<std::string>()};
  });
}

json ToJson(const ErrorBody& body) {
  json result = {{"error",
                  {{"code", body.m_code},
                   {"message", body.m_message},
                   {"not_applied", body.m_is_not_applied}}}};
  if (body.m_current) {
    result["current"] = ToJson(*body.m_current);
  }
  if (!body.m_deleted_by.empty()) {
    result["deleted_by"] = body.m_deleted_by;
  }
  return result;
}

ErrorBody ParseErrorBody(std::string_view text) {
  const auto read = [](const json& from) {
    const json error = from.value("error", json::object());
    ErrorBody body;
    body.m_code = error.value("code", "");
    body.m_message = error.value("message", "");
    body.m_is_not_applied = error.value("not_applied", false);
    body.m_deleted_by = from.value("deleted_by", "");
    if (from.contains("current")) {
      body.m_current = ReadObject(from.at("current"));
    }
    return body;
  };
  return Parse<ErrorBody>(text, read).value_or(ErrorBody{});
}

}  // namespace jasminelug::platform
