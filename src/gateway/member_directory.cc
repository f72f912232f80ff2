#include "src/gateway/member_directory.h"

namespace jasminelug::gateway {

bool MemberDirectory::OnEntries(const StoreObjects& objects, Time now) {
  const std::map<MemberId, Member> before = m_members;
  std::map<MemberId, Member> announced;
  for (const auto& [name, object] : objects) {
    if (const auto* member = std::get_if<Member>(&object.m_value)) {
      announced.emplace(member->m_id, *member);
    }
  }
  for (const auto& [id, member] : m_members) {
    if (!announced.contains(id)) {
      m_missing.try_emplace(id, now);
    }
  }
  for (auto& [id, member] : announced) {
    m_missing.erase(id);
    m_members.insert_or_assign(id, member);
  }
  return m_members != before;
}

bool MemberDirectory::OnTick(Time now) {
  bool changed = false;
  for (auto missing = m_missing.begin(); missing != m_missing.end();) {
    if (now - missing->second < kRemovalDelay) {
      ++missing;
      continue;
    }
    m_members.erase(missing->first);
    missing = m_missing.erase(missing);
    changed = true;
  }
  return changed;
}

std::vector<Member> MemberDirectory::Members() const {
  std::vector<Member> members;
  for (const auto& [id, member] : m_members) {
    members.push_back(member);
  }
  return members;
}

}  // namespace jasminelug::gateway
