#include <nlohmann/json.hpp>

#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/object_edit.h"
#include "apps/jasminelugctl/object_list.h"
#include "apps/jasminelugctl/object_write.h"
#include "apps/jasminelugctl/platform_session.h"
#include "apps/jasminelugctl/random.h"
#include "apps/jasminelugctl/revision_wait.h"

namespace jasminelug::ctl {
namespace {

// Index of a positional argument; the first two are the command.
constexpr std::size_t kFirstArgument = 2;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSaltBytes = 16;

PlannedWrite PlanKeyGrant(const core::CustomerName& customer,
                          const core::Secret& key) {
  const core::KeyGrant grant =
      core::MakeKeyGrant(customer, RandomHex(kSaltBytes), key);
  PlannedWrite write;
  write.m_desired = {{core::ObjectKind::kKey, grant.m_id.str()},
                     core::Format(grant)};
  return write;
}

// Prints the key. This is the only place where it appears: the platform stores
// just a salted digest, and the key is never logged.
void PrintKey(const Invocation& invocation,
              const WriteReport& report,
              const core::Secret& key) {
  if (invocation.m_options.m_json) {
    PrintJson(invocation, {{"id", report.m_write.m_desired.m_key.m_name},
                           {"key", key.Reveal()},
                           {"revision", report.m_revision}});
    return;
  }
  invocation.m_out << key.Reveal() << "\n";
  invocation.m_err
      << "This key is shown only once and is not stored; its id is "
      << report.m_write.m_desired.m_key.m_name << ".\n";
}

ExitCode GrantKey(const Invocation& invocation,
                  PlatformSession& platform,
                  const core::CustomerName& customer) {
  const core::Secret key("k" + RandomHex(kIdBytes) + "." +
                         RandomHex(kSecretBytes));
  const WriteReports reports = Execute(platform, {PlanKeyGrant(customer, key)});
  const ExitCode code = ToExitCode(reports);
  if (code != ExitCode::kDone) {
    PrintReports(invocation, reports);
    if (reports.front().m_status == WriteStatus::kUnknown) {
      invocation.m_err << "The key was not shown. If its id is listed later, "
                          "withdraw that key and grant another.\n";
    }
    return code;
  }
  PrintKey(invocation, reports.front(), key);
  invocation.m_out.flush();
  return WaitForRevision(invocation, reports.front().m_revision);
}

Result<Table::Row, FieldErrors> MakeRow(const platform::Object& object) {
  const Result<core::KeyGrant, FieldErrors> grant =
      core::ParseKeyGrant(core::KeyId(object.m_name), object.m_value);
  if (!IsOk(grant)) {
    return GetError(grant);
  }
  return Table::Row{object.m_name, GetValue(grant).m_customer.str(),
                    GetValue(grant).m_withdrawn ? "withdrawn" : "granted"};
}

}  // namespace

ExitCode KeyGrant(const Invocation& invocation) {
  const core::CustomerName customer(
      invocation.m_options.m_positional_arguments[kFirstArgument]);
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list =
      platform.List(core::ToString(core::ObjectKind::kCustomer));
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  if (!FindObject(GetValue(list),
                  {core::ObjectKind::kCustomer, customer.str()})) {
    invocation.m_err << "no such customer: " << Printable(customer.str())
                     << "\n";
    return ExitCode::kRefused;
  }
  return GrantKey(invocation, platform, customer);
}

ExitCode KeyWithdraw(const Invocation& invocation) {
  const std::string& id =
      invocation.m_options.m_positional_arguments[kFirstArgument];
  return EditObject(
      invocation, {core::ObjectKind::kKey, id},
      [](nlohmann::json* value) { (*value)["withdrawn"] = true; });
}

ExitCode KeyList(const Invocation& invocation) {
  return ListObjects(invocation, core::ObjectKind::kKey,
                     {"ID", "CUSTOMER", "STATUS"}, MakeRow);
}

}  // namespace jasminelug::ctl
