#include "src/core/group_monitor.h"

#include <optional>
#include <utility>

#include "src/core/group_record.h"

namespace jasminelug::core {

Group* GroupMonitor::Find(const DatabaseName& database) {
  const auto found = m_groups.find(database);
  return found == m_groups.end() ? nullptr : found->second.get();
}

void GroupMonitor::OnConfiguration(const Configuration& configuration,
                                   Context& context) {
  for (const auto& [name, database] : configuration.m_databases) {
    if (Group* group = Find(name)) {
      group->SetDatabase(database, context);
    } else {
      m_groups.emplace(name,
                       std::make_unique<Group>(m_self, database, &m_hooks));
    }
  }
  std::erase_if(m_groups, [&configuration](const auto& entry) {
    return !configuration.m_databases.contains(entry.first);
  });
}

void GroupMonitor::OnControlAnswered(CallId call,
                                     const ControlAnswer& answer,
                                     Context& context) {
  for (const auto& [name, group] : m_groups) {
    if (group->OnControlAnswered(call, answer, context)) {
      return;
    }
  }
}

void GroupMonitor::OnPeerMessage(const PeerSender& from,
                                 const GroupReport& report,
                                 Context& context) {
  if (Group* group = Find(report.m_database)) {
    group->OnGroupReport(from.m_instance, report, context);
  }
}

void GroupMonitor::OnPeerMessage(const PeerSender& from,
                                 const PrimarySuspicion& suspicion,
                                 Context& context) {
  if (Group* group = Find(suspicion.m_database)) {
    group->OnSuspicion(from.m_instance, suspicion, context);
  }
}

void GroupMonitor::OnObject(const Object& object, Context& context) {
  Group* group = Find(DatabaseName(object.m_key.m_name));
  const std::optional<GroupRecord> record = ParseGroupRecord(object.m_value);
  if (group != nullptr && record) {
    group->OnPublished(record->m_term, record->m_primary, context);
  }
}

void GroupMonitor::OnPaused(Context& context) {
  for (const auto& [name, group] : m_groups) {
    group->OnPaused(context);
  }
}

void GroupMonitor::OnTick(Context& context) {
  for (const auto& [name, group] : m_groups) {
    group->OnTick(context);
  }
}

}  // namespace jasminelug::core
