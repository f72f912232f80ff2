#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/object_list.h"
#include "apps/jasminelugctl/platform_session.h"

namespace jasminelug::ctl {
namespace {

Result<Table::Row, FieldErrors> MakeRow(const platform::Object& object) {
  const Result<core::Customer, FieldErrors> customer =
      core::ParseCustomer(core::CustomerName(object.m_name), object.m_value);
  if (!IsOk(customer)) {
    return GetError(customer);
  }
  return Table::Row{object.m_name, JoinNames(GetValue(customer).m_profiles),
                    JoinNames(GetValue(customer).m_databases)};
}

}  // namespace

ExitCode CustomerList(const Invocation& invocation) {
  return ListObjects(invocation, core::ObjectKind::kCustomer,
                     {"NAME", "PROFILES", "DATABASES"}, MakeRow);
}

ExitCode Instances(const Invocation& invocation) {
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::InstanceList> list = platform.Instances();
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  Table table({"NAME", "ADDRESS", "ZONE", "STATUS"});
  for (const platform::Instance& instance : GetValue(list)) {
    table.Add({instance.m_name, instance.m_address, instance.m_zone,
               instance.m_is_leaving ? "leaving" : "live"});
  }
  table.Print(invocation);
  return ExitCode::kDone;
}

}  // namespace jasminelug::ctl
