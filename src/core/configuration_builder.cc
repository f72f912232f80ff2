#include "src/core/configuration_builder.h"

#include <map>
#include <memory>
#include <utility>

#include "src/core/configuration_codec.h"

namespace jasminelug::core {
namespace {

template <typename K, typename T>
FieldErrors Put(const K& key,
                Result<T, FieldErrors> parsed,
                std::map<K, T>* to) {
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  to->insert_or_assign(key, TakeValue(std::move(parsed)));
  return {};
}

}  // namespace

ConfigurationBuilder::ConfigurationBuilder(const ConfigurationPtr& base)
    : m_next(base ? *base : Configuration()) {}

FieldErrors ConfigurationBuilder::Apply(const Object& object) {
  const std::string& name = object.m_key.m_name;
  const std::string& value = object.m_value;
  if (object.m_deleted) {
    Remove(object.m_key);
    return {};
  }
  switch (object.m_key.m_kind) {
    case ObjectKind::kProfile:
      return Put(ProfileName(name), ParseProfile(ProfileName(name), value),
                 &m_next.m_profiles);
    case ObjectKind::kCustomer:
      return Put(CustomerName(name), ParseCustomer(CustomerName(name), value),
                 &m_next.m_customers);
    case ObjectKind::kKey:
      return Put(KeyId(name), ParseKeyGrant(KeyId(name), value),
                 &m_next.m_keys);
    case ObjectKind::kZone:
      return Put(ZoneName(name), ParseZone(ZoneName(name), value),
                 &m_next.m_zones);
    case ObjectKind::kDatabase:
      return Put(DatabaseName(name), ParseDatabase(DatabaseName(name), value),
                 &m_next.m_databases);
    case ObjectKind::kInstance:
    case ObjectKind::kShare:
    case ObjectKind::kGroup:
      break;
  }
  return {};
}

void ConfigurationBuilder::Remove(const ObjectKey& key) {
  switch (key.m_kind) {
    case ObjectKind::kProfile:
      m_next.m_profiles.erase(ProfileName(key.m_name));
      break;
    case ObjectKind::kCustomer:
      m_next.m_customers.erase(CustomerName(key.m_name));
      break;
    case ObjectKind::kKey:
      m_next.m_keys.erase(KeyId(key.m_name));
      break;
    case ObjectKind::kZone:
      m_next.m_zones.erase(ZoneName(key.m_name));
      break;
    case ObjectKind::kDatabase:
      m_next.m_databases.erase(DatabaseName(key.m_name));
      break;
    case ObjectKind::kInstance:
    case ObjectKind::kShare:
    case ObjectKind::kGroup:
      break;
  }
}

ConfigurationPtr ConfigurationBuilder::Build(Revision revision) {
  m_next.m_revision = revision;
  return std::make_shared<const Configuration>(std::move(m_next));
}

}  // namespace jasminelug::core
