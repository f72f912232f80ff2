#include "apps/jasminelugctl/desired_object.h"

namespace jasminelug::ctl {
namespace {

template <typename T>
Result<std::string, FieldErrors> Reformat(
    const Result<T, FieldErrors>& parsed) {
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  return core::Format(GetValue(parsed));
}

}  // namespace

Result<std::string, FieldErrors> Canonicalize(const core::ObjectKey& key,
                                              const std::string& value) {
  const FieldErrors errors = core::ValidateObject(key, value);
  if (!errors.empty()) {
    return errors;
  }
  const std::string& name = key.m_name;
  switch (key.m_kind) {
    case core::ObjectKind::kProfile:
      return Reformat(core::ParseProfile(core::ProfileName(name), value));
    case core::ObjectKind::kCustomer:
      return Reformat(core::ParseCustomer(core::CustomerName(name), value));
    case core::ObjectKind::kKey:
      return Reformat(core::ParseKeyGrant(core::KeyId(name), value));
    case core::ObjectKind::kZone:
      return Reformat(core::ParseZone(core::ZoneName(name), value));
    case core::ObjectKind::kDatabase:
      return Reformat(core::ParseDatabase(core::DatabaseName(name), value));
    case core::ObjectKind::kInstance:
    case core::ObjectKind::kShare:
    case core::ObjectKind::kGroup:
      break;
  }
  return FieldErrors{{"", "only the daemons write objects of this kind"}};
}

platform::ObjectKey ToPlatformKey(const core::ObjectKey& key) {
  return {core::ToString(key.m_kind), key.m_name};
}

std::string ToString(const core::ObjectKey& key) {
  return std::string(core::ToString(key.m_kind)) + " " + key.m_name;
}

}  // namespace jasminelug::ctl
