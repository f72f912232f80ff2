#include <nlohmann/json.hpp>

#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/configuration_file.h"
#include "apps/jasminelugctl/object_write.h"
#include "apps/jasminelugctl/platform_session.h"
#include "apps/jasminelugctl/table.h"

namespace jasminelug::ctl {
namespace {

using Json = nlohmann::json;

// Index of a positional argument; the first two are the command.
constexpr std::size_t kFileArgument = 2;

ExitCode ReportFieldErrors(const Invocation& invocation,
                           const FieldErrors& errors) {
  for (const FieldError& error : errors) {
    const std::string field =
        error.m_field.empty() ? "the file" : error.m_field;
    invocation.m_err << Printable(field) << ": " << Printable(error.m_message)
                     << "\n";
  }
  if (invocation.m_options.m_json) {
    Json list = Json::array();
    for (const FieldError& error : errors) {
      list.push_back({{"field", error.m_field}, {"message", error.m_message}});
    }
    PrintJson(invocation, {{"errors", list}});
  }
  return ExitCode::kRefused;
}

Result<DesiredObjects, FieldErrors> ReadFile(const Invocation& invocation) {
  return ReadConfigurationFile(
      invocation.m_options.m_positional_arguments[kFileArgument]);
}

// Returns `value` as JSON, or as a JSON string if it is not valid JSON.
Json ParseJsonOrString(const std::string& value) {
  Json json = Json::parse(value, nullptr, false);
  return json.is_discarded() ? Json(value) : json;
}

// Returns the fields that differ. A stored value that is not a JSON object is
// shown as one field with an empty name.
Json DiffFields(const PlannedWrite& write) {
  const Json from = ParseJsonOrString(write.m_old_value);
  const Json to = ParseJsonOrString(write.m_desired.m_value);
  if (!from.is_object()) {
    return Json::array({{{"field", ""}, {"from", from}, {"to", to}}});
  }
  Json fields = Json::array();
  Json names = from;
  names.update(to);
  for (const auto& [name, ignored] : names.items()) {
    const Json old_value = from.value(name, Json());
    const Json new_value = to.value(name, Json());
    if (old_value != new_value) {
      fields.push_back(
          {{"field", name}, {"from", old_value}, {"to", new_value}});
    }
  }
  return fields;
}

Json MakeDiff(const WritePlan& plan) {
  Json diff = Json::array();
  for (const PlannedWrite& write : plan) {
    if (!write.IsNeeded()) {
      continue;
    }
    const core::ObjectKey& key = write.m_desired.m_key;
    Json entry = {{"kind", core::ToString(key.m_kind)}, {"name", key.m_name}};
    if (write.m_expected_version == 0) {
      entry["created"] = ParseJsonOrString(write.m_desired.m_value);
    } else {
      entry["changed"] = DiffFields(write);
    }
    diff.push_back(entry);
  }
  return diff;
}

void PrintDiff(const Invocation& invocation, const Json& diff) {
  if (invocation.m_options.m_json) {
    PrintJson(invocation, diff);
    return;
  }
  std::ostream& out = invocation.m_out;
  for (const Json& entry : diff) {
    const std::string title = entry["kind"].get<std::string>() + " " +
                              entry["name"].get<std::string>();
    if (entry.contains("created")) {
      out << Printable(title) << ": new " << entry["created"].dump() << "\n";
      continue;
    }
    for (const Json& field : entry["changed"]) {
      out << Printable(title) << ": " << field["field"].get<std::string>()
          << " " << field["from"].dump() << " -> " << field["to"].dump()
          << "\n";
    }
  }
  if (diff.empty()) {
    out << "no difference\n";
  }
}

}  // namespace

ExitCode ConfigApply(const Invocation& invocation) {
  const Result<DesiredObjects, FieldErrors> desired = ReadFile(invocation);
  if (!IsOk(desired)) {
    return ReportFieldErrors(invocation, GetError(desired));
  }
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list = platform.List("");
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  const WritePlan plan = MakePlan(GetValue(list), GetValue(desired));
  return ExecuteAndWait(invocation, platform, plan);
}

ExitCode ConfigShow(const Invocation& invocation) {
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list = platform.List("");
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  PrintJson(invocation, MakeConfigurationFile(GetValue(list)));
  return ExitCode::kDone;
}

ExitCode ConfigValidate(const Invocation& invocation) {
  const Result<DesiredObjects, FieldErrors> desired = ReadFile(invocation);
  if (!IsOk(desired)) {
    return ReportFieldErrors(invocation, GetError(desired));
  }
  if (invocation.m_options.m_json) {
    PrintJson(invocation, {{"objects", GetValue(desired).size()}});
  } else {
    invocation.m_out << GetValue(desired).size() << " objects are valid\n";
  }
  return ExitCode::kDone;
}

ExitCode ConfigDiff(const Invocation& invocation) {
  const Result<DesiredObjects, FieldErrors> desired = ReadFile(invocation);
  if (!IsOk(desired)) {
    return ReportFieldErrors(invocation, GetError(desired));
  }
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list = platform.List("");
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  PrintDiff(invocation, MakeDiff(MakePlan(GetValue(list), GetValue(desired))));
  return ExitCode::kDone;
}

}  // namespace jasminelug::ctl
