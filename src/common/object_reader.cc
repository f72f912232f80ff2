#include "src/common/object_reader.h"

namespace jasminelug {

ObjectReader::ObjectReader(const nlohmann::json& object,
                           std::string path,
                           FieldErrors* errors)
    : m_object(object), m_path(std::move(path)), m_errors(errors) {}

const nlohmann::json* ObjectReader::Find(const std::string& name) {
  m_known_fields.insert(name);
  const auto field = m_object.find(name);
  return field == m_object.end() ? nullptr : &*field;
}

const nlohmann::json* ObjectReader::FindRequired(const std::string& name) {
  const nlohmann::json* value = Find(name);
  if (!value) {
    AddError(name, "is missing");
  }
  return value;
}

void ObjectReader::Check(bool condition,
                         const std::string& name,
                         const std::string& message) {
  if (!condition) {
    AddError(name, message);
  }
}

void ObjectReader::AddError(const std::string& name,
                            const std::string& message) {
  m_errors->push_back({PathOf(name), message});
}

std::string ObjectReader::PathOf(const std::string& name) const {
  if (m_path.empty() || name.empty()) {
    return m_path + name;
  }
  return m_path + "." + name;
}

void ObjectReader::RejectUnknownFields() {
  if (m_ignores_unknown_fields) {
    return;
  }
  for (const auto& field : m_object.items()) {
    if (!m_known_fields.contains(field.key())) {
      AddError(field.key(), "is not a known field");
    }
  }
}

}  // namespace jasminelug
