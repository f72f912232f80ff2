#include <nlohmann/json.hpp>

#include "apps/jasminelugctl/admin_session.h"
#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/object_edit.h"
#include "apps/jasminelugctl/object_list.h"

namespace jasminelug::ctl {
namespace {

using operators::AdminError;

// Indices of positional arguments; the first two are the command.
constexpr std::size_t kNameArgument = 2;
constexpr std::size_t kMemberArgument = 3;

Result<Table::Row, FieldErrors> MakeRow(const platform::Object& object) {
  const Result<core::Database, FieldErrors> parsed =
      core::ParseDatabase(core::DatabaseName(object.m_name), object.m_value);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  const core::Database& database = GetValue(parsed);
  std::string members;
  for (const core::Member& member : database.m_members) {
    members += (members.empty() ? "" : " ") + member.m_id.str() + "@" +
               member.m_zone.str();
  }
  return Table::Row{object.m_name, database.m_leaving ? "leaving" : "in",
                    std::to_string(database.m_slots),
                    std::to_string(database.m_connections), members};
}

ExitCode SetDatabaseStatus(const Invocation& invocation, const char* status) {
  const std::string& name =
      invocation.m_options.m_positional_arguments[kNameArgument];
  return EditObject(
      invocation, {core::ObjectKind::kDatabase, name},
      [status](nlohmann::json* value) { (*value)["status"] = status; });
}

void PrintOutcome(const Invocation& invocation,
                  const operators::SwitchoverOutcome& outcome) {
  if (invocation.m_options.m_json) {
    PrintJson(invocation, operators::ToJson(outcome));
    return;
  }
  invocation.m_out << Printable(outcome.m_database) << ": "
                   << Printable(outcome.m_primary);
  if (outcome.m_term == 0) {
    invocation.m_out << " will become the primary; check with status\n";
  } else {
    invocation.m_out << " is the primary of term " << outcome.m_term << "\n";
  }
}

ExitCode ReportAdminError(const Invocation& invocation,
                          const Endpoint& endpoint,
                          const AdminError& error) {
  invocation.m_err << ToString(endpoint) << ": "
                   << operators::ToString(error.m_kind) << ": "
                   << Printable(error.m_message) << "\n";
  if (error.m_kind == AdminError::Kind::kUnknown) {
    invocation.m_err << "The switchover may have taken place; see status.\n";
  }
  const bool is_unavailable = error.m_kind == AdminError::Kind::kUnavailable ||
                              error.m_kind == AdminError::Kind::kUnknown;
  return is_unavailable ? ExitCode::kUnavailable : ExitCode::kRefused;
}

}  // namespace

ExitCode DatabaseList(const Invocation& invocation) {
  return ListObjects(invocation, core::ObjectKind::kDatabase,
                     {"NAME", "STATUS", "SLOTS", "CONNECTIONS", "MEMBERS"},
                     MakeRow);
}

ExitCode DatabaseLeave(const Invocation& invocation) {
  return SetDatabaseStatus(invocation, "leaving");
}

ExitCode DatabaseReturn(const Invocation& invocation) {
  return SetDatabaseStatus(invocation, "in");
}

ExitCode DatabaseSwitchover(const Invocation& invocation) {
  const std::vector<std::string>& positional_arguments =
      invocation.m_options.m_positional_arguments;
  const operators::SwitchoverRequest request = {
      positional_arguments[kNameArgument],
      positional_arguments[kMemberArgument]};
  const http2::Request post = {
      "POST", "/v1/switchover", {}, operators::ToJson(request).dump(), {}};
  ExitCode code = ExitCode::kUnavailable;
  for (const Endpoint& endpoint : invocation.m_options.m_admins) {
    const auto answer = CallAll<operators::SwitchoverOutcome>(
                            {endpoint}, post, operators::ParseSwitchoverOutcome)
                            .front();
    if (IsOk(answer.m_result)) {
      PrintOutcome(invocation, GetValue(answer.m_result));
      return ExitCode::kDone;
    }
    const AdminError& error = GetError(answer.m_result);
    code = ReportAdminError(invocation, endpoint, error);
    // Tries another instance only if this one certainly did not act on the
    // request.
    if (error.m_kind != AdminError::Kind::kUnavailable) {
      return code;
    }
  }
  return code;
}

}  // namespace jasminelug::ctl
