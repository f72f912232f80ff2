#include "src/gateway/member_answer_bytes.h"

#include <algorithm>

namespace jasminelug::gateway {

MemberAnswerBytes::MemberAnswerBytes(std::size_t limit_bytes)
    : m_limit_bytes(limit_bytes) {}

void MemberAnswerBytes::Add(ConnectionId id, std::size_t bytes) {
  m_answers[id.value()] += bytes;
  m_total_bytes += bytes;
}

void MemberAnswerBytes::Remove(ConnectionId id) {
  const auto found = m_answers.find(id.value());
  if (found != m_answers.end()) {
    m_total_bytes -= found->second;
    m_answers.erase(found);
  }
}

std::optional<ConnectionId> MemberAnswerBytes::ConnectionToClose() const {
  if (m_total_bytes <= m_limit_bytes) {
    return std::nullopt;
  }
  const auto largest = std::max_element(
      m_answers.begin(), m_answers.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return ConnectionId(largest->first);
}

}  // namespace jasminelug::gateway
