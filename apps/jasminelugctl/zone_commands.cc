#include <map>

#include "apps/jasminelugctl/commands.h"
#include "apps/jasminelugctl/object_edit.h"
#include "apps/jasminelugctl/object_write.h"
#include "apps/jasminelugctl/platform_session.h"
#include "apps/jasminelugctl/table.h"

namespace jasminelug::ctl {
namespace {

// Index of a positional argument; the first two are the command.
constexpr std::size_t kFirstArgument = 2;

// Summarizes what the platform's objects say about an availability zone.
struct ZoneSummary {
  bool m_out = false;
  int m_instances = 0;
  int m_members = 0;
};

using ZoneSummaries = std::map<std::string, ZoneSummary>;

void AddObject(const platform::Object& object, ZoneSummaries* zones) {
  if (object.m_kind == core::ToString(core::ObjectKind::kZone)) {
    const auto zone =
        core::ParseZone(core::ZoneName(object.m_name), object.m_value);
    (*zones)[object.m_name].m_out = IsOk(zone) && GetValue(zone).m_out;
  } else if (object.m_kind == core::ToString(core::ObjectKind::kInstance)) {
    const auto record = core::ParseInstanceRecord(
        core::InstanceId(object.m_name), object.m_value);
    if (IsOk(record)) {
      ++(*zones)[GetValue(record).m_zone.str()].m_instances;
    }
  } else if (object.m_kind == core::ToString(core::ObjectKind::kDatabase)) {
    const auto database =
        core::ParseDatabase(core::DatabaseName(object.m_name), object.m_value);
    if (IsOk(database)) {
      for (const core::Member& member : GetValue(database).m_members) {
        ++(*zones)[member.m_zone.str()].m_members;
      }
    }
  }
}

// Returns all availability zones that have a zone object, an instance or a
// member of a database.
ZoneSummaries Summarize(const platform::ObjectList& list) {
  ZoneSummaries zones;
  for (const platform::Object& object : list.m_objects) {
    AddObject(object, &zones);
  }
  return zones;
}

ExitCode SetZoneStatus(const Invocation& invocation, bool out) {
  const std::string& name =
      invocation.m_options.m_positional_arguments[kFirstArgument];
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list = platform.List("");
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  // Refuses an unknown name. Otherwise a misspelled name would create a new
  // zone object, and the command would look as if the zone had been taken out.
  if (!Summarize(GetValue(list)).contains(name)) {
    invocation.m_err << "no such availability zone: " << Printable(name)
                     << "\n";
    return ExitCode::kRefused;
  }
  const core::Zone zone = {core::ZoneName(name), out};
  return ExecuteAndWait(
      invocation, platform,
      MakePlan(GetValue(list),
               {{{core::ObjectKind::kZone, name}, core::Format(zone)}}));
}

}  // namespace

ExitCode ZoneOut(const Invocation& invocation) {
  return SetZoneStatus(invocation, true);
}

ExitCode ZoneIn(const Invocation& invocation) {
  return SetZoneStatus(invocation, false);
}

ExitCode ZoneStatus(const Invocation& invocation) {
  PlatformSession platform(*invocation.m_options.m_platform);
  const PlatformResult<platform::ObjectList> list = platform.List("");
  if (!IsOk(list)) {
    return ReportError(invocation, GetError(list));
  }
  Table table({"NAME", "STATUS", "INSTANCES", "MEMBERS"});
  for (const auto& [name, zone] : Summarize(GetValue(list))) {
    table.Add({name, zone.m_out ? "out" : "in",
               std::to_string(zone.m_instances),
               std::to_string(zone.m_members)});
  }
  table.Print(invocation);
  return ExitCode::kDone;
}

}  // namespace jasminelug::ctl
