#include "apps/jasminelugctl/configuration_file.h"

#include <fstream>
#include <iterator>

namespace jasminelug::ctl {
namespace {

using Json = nlohmann::json;

struct Section {
  const char* m_name;
  core::ObjectKind m_kind;
};

constexpr Section kSections[] = {
    {"profiles", core::ObjectKind::kProfile},
    {"customers", core::ObjectKind::kCustomer},
    {"zones", core::ObjectKind::kZone},
    {"databases", core::ObjectKind::kDatabase},
};

void AddErrors(const std::string& path,
               const FieldErrors& errors,
               FieldErrors* all_errors) {
  for (const FieldError& error : errors) {
    const std::string field =
        error.m_field.empty() ? path : path + "." + error.m_field;
    all_errors->push_back({field, error.m_message});
  }
}

void ReadSection(const Section& section,
                 const Json& value,
                 DesiredObjects* objects,
                 FieldErrors* errors) {
  if (!value.is_object()) {
    errors->push_back({section.m_name, "must be an object"});
    return;
  }
  for (const auto& [name, item] : value.items()) {
    const core::ObjectKey key = {section.m_kind, name};
    const Result<std::string, FieldErrors> text =
        Canonicalize(key, item.dump());
    if (IsOk(text)) {
      objects->push_back({key, GetValue(text)});
    } else {
      AddErrors(section.m_name + ("." + name), GetError(text), errors);
    }
  }
}

}  // namespace

Result<DesiredObjects, FieldErrors> ParseConfigurationFile(
    std::string_view text) {
  const Result<Json, FieldErrors> document =
      ParseJson(text, JsonComments::kAllowed);
  if (!IsOk(document)) {
    return GetError(document);
  }
  FieldErrors errors;
  DesiredObjects objects;
  ObjectReader::Run<DesiredObjects>(
      GetValue(document), "",
      [&errors](ObjectReader& reader, DesiredObjects* out) {
        for (const Section& section : kSections) {
          if (const Json* value = reader.Find(section.m_name)) {
            ReadSection(section, *value, out, &errors);
          }
        }
      },
      &objects, &errors);
  if (!errors.empty()) {
    return errors;
  }
  return objects;
}

Result<DesiredObjects, FieldErrors> ReadConfigurationFile(
    const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file.is_open() || file.bad()) {
    return FieldErrors{{"", "the file can't be read: " + path}};
  }
  return ParseConfigurationFile(text);
}

Json MakeConfigurationFile(const platform::ObjectList& list) {
  Json file = Json::object();
  for (const Section& section : kSections) {
    Json& objects = file[section.m_name] = Json::object();
    for (const platform::Object& object : list.m_objects) {
      if (object.m_kind == core::ToString(section.m_kind)) {
        objects[object.m_name] = Json::parse(object.m_value, nullptr, false);
      }
    }
  }
  return file;
}

}  // namespace jasminelug::ctl
