#ifndef SRC_COMMON_OBJECT_READER_H_
#define SRC_COMMON_OBJECT_READER_H_

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/common/field_error.h"
#include "src/common/json_document.h"
#include "src/common/json_value.h"
#include "src/common/result.h"

namespace jasminelug {

// Reads the typed fields of one JSON object and collects all errors, each with
// its full field path. After the hook has read the fields that it knows, Run
// (and thus ReadDocument) reports every other field of the object as an error,
// except after IgnoreUnknownFields().
//
//   Result<Listen, FieldErrors> result = ReadDocument<Listen>(
//       text, JsonComments::kAllowed, [](ObjectReader& reader, Listen* listen)
//       {
//         reader.Required("address", &listen->m_address);
//         reader.Optional("port", &listen->m_port);
//       });
class ObjectReader {
 public:
  // Fills a T with the fields of an object.
  template <typename T>
  using Hook = std::function<void(ObjectReader&, T*)>;

  // The name of an enumerator in JSON and its value.
  template <typename T>
  struct Name {
    const char* m_name;
    T m_value;
  };

  // Reads the object `value`, the field at `path`, into `*out` with `hook`.
  // Adds errors to `*errors`.
  template <typename T>
  static void Run(const nlohmann::json& value,
                  const std::string& path,
                  const Hook<T>& hook,
                  T* out,
                  FieldErrors* errors) {
    if (!value.is_object()) {
      errors->push_back({path, "must be an object"});
      return;
    }
    ObjectReader reader(value, path, errors);
    hook(reader, out);
    reader.RejectUnknownFields();
  }

  // Reads a required field. T is a string, bool, integer, double,
  // std::chrono::milliseconds (a whole number in JSON), or a vector of these.
  template <typename T>
  void Required(const std::string& name, T* out) {
    if (const nlohmann::json* value = FindRequired(name)) {
      ReadValue(*value, name, out);
    }
  }

  // Reads an optional field. If it is missing, `*out` keeps its value. Null
  // counts as missing only if `*out` is a std::optional.
  template <typename T>
  void Optional(const std::string& name, T* out) {
    if (const nlohmann::json* value = Find(name)) {
      ReadValue(*value, name, out);
    }
  }

  template <typename T>
  void Optional(const std::string& name, std::optional<T>* out) {
    const nlohmann::json* value = Find(name);
    if (!value || value->is_null()) {
      return;
    }
    T read{};
    if (ReadValue(*value, name, &read)) {
      *out = std::move(read);
    }
  }

  // Reads an optional field whose value is one of `names`. If it is missing,
  // `*out` keeps its value.
  template <typename T>
  void OptionalEnum(const std::string& name,
                    std::initializer_list<Name<T>> names,
                    T* out) {
    if (const nlohmann::json* value = Find(name)) {
      ReadEnum(*value, name, names, out);
    }
  }

  // Reads a required field whose value is one of `names`.
  template <typename T>
  void RequiredEnum(const std::string& name,
                    std::initializer_list<Name<T>> names,
                    T* out) {
    if (const nlohmann::json* value = FindRequired(name)) {
      ReadEnum(*value, name, names, out);
    }
  }

  // Reads a required object.
  template <typename T>
  void RequiredObject(const std::string& name, T* out, const Hook<T>& hook) {
    if (const nlohmann::json* value = FindRequired(name)) {
      Run<T>(*value, PathOf(name), hook, out, m_errors);
    }
  }

  // Reads an optional object. If it is missing, `*out` keeps its value.
  template <typename T>
  void OptionalObject(const std::string& name, T* out, const Hook<T>& hook) {
    if (const nlohmann::json* value = Find(name)) {
      Run<T>(*value, PathOf(name), hook, out, m_errors);
    }
  }

  // Appends the objects of an optional list to `*out`. Does nothing if the
  // field is missing.
  template <typename T>
  void Objects(const std::string& name,
               std::vector<T>* out,
               const Hook<T>& hook) {
    const nlohmann::json* value = Find(name);
    if (!value) {
      return;
    }
    if (!value->is_array()) {
      AddError(name, "must be a list");
      return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      T item{};
      Run<T>((*value)[i], PathOf(name) + "[" + std::to_string(i) + "]", hook,
             &item, m_errors);
      out->push_back(std::move(item));
    }
  }

  // Accepts fields that the hook does not read. For objects of another system,
  // which may add fields.
  void IgnoreUnknownFields() { m_ignores_unknown_fields = true; }

  // Returns the JSON value of the field `name`, or nullptr if it is missing,
  // and marks the field as known. For fields that may have more than one JSON
  // type; the caller reports their errors by AddError.
  const nlohmann::json* Find(const std::string& name);

  // Adds the error `message` for the field `name` if `condition` is false. For
  // bounds and for fields that depend on each other.
  void Check(bool condition,
             const std::string& name,
             const std::string& message);

  // Adds the error `message` for the field `name`, or for the whole object if
  // `name` is empty.
  void AddError(const std::string& name, const std::string& message);

 private:
  ObjectReader(const nlohmann::json& object,
               std::string path,
               FieldErrors* errors);

  const nlohmann::json* FindRequired(const std::string& name);
  std::string PathOf(const std::string& name) const;
  void RejectUnknownFields();

  template <typename T>
  bool ReadValue(const nlohmann::json& value, const std::string& name, T* out) {
    return ReadJsonValue(value, PathOf(name), out, m_errors);
  }

  template <typename T>
  void ReadEnum(const nlohmann::json& value,
                const std::string& name,
                std::initializer_list<Name<T>> names,
                T* out) {
    std::string choices;
    for (const Name<T>& choice : names) {
      if (value == choice.m_name) {
        *out = choice.m_value;
        return;
      }
      choices +=
          choices.empty() ? choice.m_name : ", " + std::string(choice.m_name);
    }
    AddError(name, "must be one of: " + choices);
  }

  const nlohmann::json& m_object;
  const std::string m_path;
  FieldErrors* m_errors;
  std::set<std::string> m_known_fields;
  bool m_ignores_unknown_fields = false;
};

// Parses `text` as one JSON object and reads it with `hook`. Returns the value,
// or all errors that were found.
template <typename T>
Result<T, FieldErrors> ReadDocument(std::string_view text,
                                    JsonComments comments,
                                    const ObjectReader::Hook<T>& hook) {
  const Result<nlohmann::json, FieldErrors> document =
      ParseJson(text, comments);
  if (!IsOk(document)) {
    return GetError(document);
  }
  T value{};
  FieldErrors errors;
  ObjectReader::Run<T>(GetValue(document), "", hook, &value, &errors);
  if (!errors.empty()) {
    return errors;
  }
  return value;
}

}  // namespace jasminelug

#endif  // SRC_COMMON_OBJECT_READER_H_
