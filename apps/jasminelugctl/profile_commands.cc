#include <nlohmann/json.hpp>

#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/object_edit.h"
#include "apps/jasminelugctl/object_list.h"

namespace jasminelug::ctl {
namespace {

using Json = nlohmann::json;

// Indices of positional arguments; the first two are the command.
constexpr std::size_t kNameArgument = 2;
constexpr std::size_t kFirstFieldArgument = 3;

// Parses the value of FIELD=VALUE as JSON, as in "burst=40" or
// "open_to_all=true". A value that is not valid JSON is taken as a string.
Json ParseFieldValue(const std::string& text) {
  Json value = Json::parse(text, nullptr, false);
  return value.is_discarded() ? Json(text) : value;
}

std::string Milliseconds(core::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

const char* ConsistencyName(core::Consistency consistency) {
  switch (consistency) {
    case core::Consistency::kStrong:
      return "strong";
    case core::Consistency::kSession:
      return "session";
    case core::Consistency::kStale:
      break;
  }
  return "stale";
}

Result<Table::Row, FieldErrors> MakeRow(const platform::Object& object) {
  const Result<core::Profile, FieldErrors> parsed =
      core::ParseProfile(core::ProfileName(object.m_name), object.m_value);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const core::Profile& profile = GetValue(parsed);
  return Table::Row{object.m_name,
                    ConsistencyName(profile.m_consistency),
                    Milliseconds(profile.m_max_staleness),
                    std::to_string(profile.m_rate_per_second),
                    std::to_string(profile.m_burst),
                    profile.m_open_to_all ? "true" : "false",
                    Milliseconds(profile.m_queue_wait)};
}

}  // namespace

ExitCode ProfileSet(const Invocation& invocation) {
  const std::vector<std::string>& positional_arguments =
      invocation.m_options.m_positional_arguments;
  Json changes = Json::object();
  for (std::size_t i = kFirstFieldArgument; i < positional_arguments.size();
       ++i) {
    const std::size_t equals = positional_arguments[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      invocation.m_err << "not FIELD=VALUE: "
                       << Printable(positional_arguments[i]) << "\n";
      return ExitCode::kUsage;
    }
    changes[positional_arguments[i].substr(0, equals)] =
        ParseFieldValue(positional_arguments[i].substr(equals + 1));
  }
  return EditObject(
      invocation,
      {core::ObjectKind::kProfile, positional_arguments[kNameArgument]},
      [&changes](Json* value) { value->update(changes); });
}

ExitCode ProfileList(const Invocation& invocation) {
  return ListObjects(
      invocation, core::ObjectKind::kProfile,
      {"NAME", "CONSISTENCY", "MAX_STALENESS_MS", "RATE_PER_SECOND", "BURST",
       "OPEN_TO_ALL", "QUEUE_WAIT_MS"},
      MakeRow);
}

}  // namespace jasminelug::ctl
