#include "apps/jasminelugctl/object_edit.h"

#include "apps/jasminelugctl/object_write.h"
#include "apps/jasminelugctl/platform_session.h"
#include "apps/jasminelugctl/table.h"

namespace jasminelug::ctl {
namespace {

ExitCode Refuse(const Invocation& invocation,
                const core::ObjectKey& key,
                const std::string& message) {
  invocation.m_err << Printable(ToString(key)) << ": " << Printable(message)
                   << "\n";
  return ExitCode::kRefused;
}

}  // namespace

const platform::Object* FindObject(const platform::ObjectList& list,
                                   const core::ObjectKey& key) {
  const platform::ObjectKey platform_key = ToPlatformKey(key);
  for (const platform::Object& object : list.m_objects) {
    if (object.m_kind == platform_key.m_kind &&
        object.m_name == platform_key.m_name) {
      return &object;
    }
  }
  return nullptr;
}

ExitCode EditObject(const Invocation& invocation,
                    const core::ObjectKey& key,
                    const FieldEdit& edit) {
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list =
      platform.List(core::ToString(key.m_kind));
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  const platform::Object* object = FindObject(GetValue(list), key);
  if (!object) {
    return Refuse(invocation, key, "does not exist");
  }
  const Result<nlohmann::json, FieldErrors> parsed =
      ParseJson(object->m_value, JsonComments::kAllowed);
  if (!IsOk(parsed) || !GetValue(parsed).is_object()) {
    return Refuse(invocation, key, "the stored value is not a JSON object");
  }
  nlohmann::json value = GetValue(parsed);
  edit(&value);
  const Result<std::string, FieldErrors> text = Canonicalize(key, value.dump());
  if (!IsOk(text)) {
    return Refuse(invocation, key, FormatFieldErrors(GetError(text)));
  }
  return ExecuteAndWait(invocation, platform,
                        MakePlan(GetValue(list), {{key, GetValue(text)}}));
}

}  // namespace jasminelug::ctl
