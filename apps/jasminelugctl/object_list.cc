#include "apps/jasminelugctl/object_list.h"

#include "apps/jasminelugctl/platform_session.h"

namespace jasminelug::ctl {

ExitCode ListObjects(const Invocation& invocation,
                     core::ObjectKind kind,
                     const Table::Row& header,
                     const RowHook& make_row) {
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list =
      platform.List(core::ToString(kind));
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  Table table(header);
  ExitCode code = ExitCode::kDone;
  for (const platform::Object& object : GetValue(list).m_objects) {
    if (object.m_kind != core::ToString(kind)) {
      continue;
    }
    const Result<Table::Row, FieldErrors> row = make_row(object);
    if (IsOk(row)) {
      table.Add(GetValue(row));
      continue;
    }
    invocation.m_err << Printable(object.m_name) << " is invalid: "
                     << Printable(FormatFieldErrors(GetError(row))) << "\n";
    code = ExitCode::kRefused;
  }
  table.Print(invocation);
  return code;
}

}  // namespace jasminelug::ctl
