#include "test/fake_line_platform/fake_database_group.h"

namespace jasminelug::fake_line_platform {

FakeDatabaseGroup::FakeDatabaseGroup(const std::vector<std::string>& members)
    : m_primary(members.front()) {
  for (const std::string& id : members) {
    m_members[id].m_id = id;
  }
}

void FakeDatabaseGroup::Commit(
    const std::map<std::string, std::string>& writes) {
  for (auto& [id, member] : m_members) {
    if (!member.m_running) {
      continue;
    }
    member.m_index += 1;
    for (const auto& [item, value] : writes) {
      member.m_items[item] = value;
    }
  }
}

bool FakeDatabaseGroup::Promote(const std::string& member) {
  const auto found = m_members.find(member);
  if (found == m_members.end() || !found->second.m_running) {
    return false;
  }
  if (member != m_primary) {
    m_primary = member;
    m_term += 1;
  }
  return true;
}

void FakeDatabaseGroup::SetRunning(const std::string& member, bool running) {
  MemberData& data = m_members.at(member);
  data.m_running = running;
  if (running) {
    data.m_index = m_members.at(m_primary).m_index;
    data.m_items = m_members.at(m_primary).m_items;
  }
}

}  // namespace jasminelug::fake_line_platform
