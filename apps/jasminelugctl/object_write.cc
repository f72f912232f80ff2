#include "apps/jasminelugctl/object_write.h"

#include <nlohmann/json.hpp>

#include <algorithm>

#include "apps/jasminelugctl/object_edit.h"
#include "apps/jasminelugctl/random.h"
#include "apps/jasminelugctl/revision_wait.h"
#include "apps/jasminelugctl/table.h"

namespace jasminelug::ctl {
namespace {

using Json = nlohmann::json;
using platform::ErrorKind;

// Returns the value in canonical form, or unchanged if the daemons would refuse
// it.
std::string CanonicalOrRaw(const core::ObjectKey& key,
                           const std::string& value) {
  const Result<std::string, FieldErrors> text = Canonicalize(key, value);
  return IsOk(text) ? GetValue(text) : value;
}

WriteStatus ToWriteStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kConflict:
    case ErrorKind::kNotFound:
      return WriteStatus::kConflict;
    case ErrorKind::kRefused:
      return WriteStatus::kRefused;
    case ErrorKind::kUnavailable:
      return WriteStatus::kUnavailable;
    case ErrorKind::kOutcomeUnknown:
      break;
  }
  return WriteStatus::kUnknown;
}

WriteReport ExecuteWrite(PlatformSession& platform, const PlannedWrite& write) {
  WriteReport report;
  report.m_write = write;
  report.m_revision = write.m_revision;
  if (!write.IsNeeded()) {
    return report;
  }
  const PlatformResult<platform::Object> result = platform.Put(
      {ToPlatformKey(write.m_desired.m_key), write.m_expected_version,
       write.m_desired.m_value, MakeWriteId()});
  if (IsOk(result)) {
    report.m_status = write.m_expected_version == 0 ? WriteStatus::kCreated
                                                    : WriteStatus::kChanged;
    report.m_revision = GetValue(result).m_revision;
    return report;
  }
  const platform::Error& error = GetError(result);
  report.m_status = ToWriteStatus(error.m_kind);
  report.m_message = error.m_message;
  report.m_current = error.m_current ? error.m_current->m_value : "";
  return report;
}

Json ToJson(const WriteReport& report) {
  const core::ObjectKey& key = report.m_write.m_desired.m_key;
  Json json = {{"kind", core::ToString(key.m_kind)},
               {"name", key.m_name},
               {"status", ToString(report.m_status)}};
  if (report.m_revision != 0) {
    json["revision"] = report.m_revision;
  }
  if (ToExitCode({report}) != ExitCode::kDone) {
    json["message"] = report.m_message;
    json["wanted"] = Json::parse(report.m_write.m_desired.m_value);
    json["current"] = Json::parse(report.m_current, nullptr, false);
    if (json["current"].is_discarded()) {
      json["current"] = nullptr;
    }
  }
  return json;
}

void PrintText(std::ostream& out, const WriteReport& report) {
  const PlannedWrite& write = report.m_write;
  out << Printable(ToString(write.m_desired.m_key)) << ": "
      << ToString(report.m_status);
  if (ToExitCode({report}) == ExitCode::kDone) {
    out << " (revision " << report.m_revision << ")\n";
    return;
  }
  out << "; " << Printable(report.m_message)
      << "\n  wanted:  " << write.m_desired.m_value << "\n  current: "
      << (report.m_current.empty() ? "(not known)" : report.m_current) << "\n";
}

bool IsApplied(const WriteReport& report) {
  return ToExitCode({report}) == ExitCode::kDone;
}

}  // namespace

WritePlan MakePlan(const platform::ObjectList& list,
                   const DesiredObjects& desired) {
  WritePlan plan;
  for (const DesiredObject& object : desired) {
    PlannedWrite write;
    write.m_desired = object;
    if (const platform::Object* current = FindObject(list, object.m_key)) {
      write.m_expected_version = current->m_version;
      write.m_revision = current->m_revision;
      write.m_old_value = CanonicalOrRaw(object.m_key, current->m_value);
    }
    plan.push_back(write);
  }
  return plan;
}

const char* ToString(WriteStatus status) {
  switch (status) {
    case WriteStatus::kUnchanged:
      return "unchanged";
    case WriteStatus::kCreated:
      return "created";
    case WriteStatus::kChanged:
      return "changed";
    case WriteStatus::kConflict:
      return "conflict, not overwritten";
    case WriteStatus::kRefused:
      return "refused";
    case WriteStatus::kUnavailable:
      return "not written, the platform is unavailable";
    case WriteStatus::kUnknown:
      break;
  }
  return "outcome unknown, it may have been written";
}

WriteReports Execute(PlatformSession& platform, const WritePlan& plan) {
  WriteReports reports;
  for (const PlannedWrite& write : plan) {
    const bool is_stopped =
        ToExitCode(reports) == ExitCode::kUnavailable && write.IsNeeded();
    if (is_stopped) {
      reports.push_back({write, WriteStatus::kUnavailable, 0, "", "not tried"});
    } else {
      reports.push_back(ExecuteWrite(platform, write));
    }
  }
  return reports;
}

void PrintReports(const Invocation& invocation, const WriteReports& reports) {
  if (invocation.m_options.m_json) {
    Json list = Json::array();
    for (const WriteReport& report : reports) {
      list.push_back(ToJson(report));
    }
    PrintJson(invocation, list);
    return;
  }
  for (const WriteReport& report : reports) {
    PrintText(invocation.m_out, report);
  }
}

ExitCode ToExitCode(const WriteReports& reports) {
  ExitCode code = ExitCode::kDone;
  for (const WriteReport& report : reports) {
    switch (report.m_status) {
      case WriteStatus::kUnchanged:
      case WriteStatus::kCreated:
      case WriteStatus::kChanged:
        break;
      case WriteStatus::kConflict:
      case WriteStatus::kRefused:
        code = MoreSevere(code, ExitCode::kRefused);
        break;
      case WriteStatus::kUnavailable:
      case WriteStatus::kUnknown:
        code = MoreSevere(code, ExitCode::kUnavailable);
        break;
    }
  }
  return code;
}

ExitCode ExecuteAndWait(const Invocation& invocation,
                        PlatformSession& platform,
                        const WritePlan& plan) {
  const WriteReports reports = Execute(platform, plan);
  PrintReports(invocation, reports);
  std::int64_t revision = 0;
  for (const WriteReport& report : reports) {
    if (IsApplied(report)) {
      revision = std::max(revision, report.m_revision);
    }
  }
  return MoreSevere(ToExitCode(reports), WaitForRevision(invocation, revision));
}

}  // namespace jasminelug::ctl
