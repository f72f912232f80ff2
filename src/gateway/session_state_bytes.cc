#include "src/gateway/session_state_bytes.h"

namespace jasminelug::gateway {
namespace {

// A session may keep this much in any case.
constexpr std::size_t kMinSessionBytes = std::size_t{4} << 10;
// Part of the limit that one session may keep.
constexpr std::size_t kSessionPartDivisor = 16;

}  // namespace

SessionStateBytes::SessionStateBytes(std::size_t limit_bytes)
    : m_limit_bytes(limit_bytes) {}

bool SessionStateBytes::Replace(SessionId id,
                                std::size_t removed_bytes,
                                std::size_t added_bytes) {
  std::size_t& held = m_sessions[id.value()];
  const std::size_t bytes = held - removed_bytes + added_bytes;
  const std::size_t total = m_total_bytes - removed_bytes + added_bytes;
  const bool fits =
      bytes <= m_limit_bytes / kSessionPartDivisor && total <= m_limit_bytes;
  if (added_bytes > removed_bytes && bytes > kMinSessionBytes && !fits) {
    return false;
  }
  held = bytes;
  m_total_bytes = total;
  return true;
}

void SessionStateBytes::Remove(SessionId id) {
  const auto found = m_sessions.find(id.value());
  if (found != m_sessions.end()) {
    m_total_bytes -= found->second;
    m_sessions.erase(found);
  }
}

}  // namespace jasminelug::gateway
