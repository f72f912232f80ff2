#include "src/gateway/caller_buffers.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Part of the memory that callers' bytes may occupy. A buffer may have twice
// the capacity of its contents, and a large answer is copied while it is
// formatted.
constexpr std::size_t kBufferedMemoryDivisor = 4;
// Descriptors that are kept for files, members and other instances.
constexpr std::size_t kReservedDescriptors = 1000;
// Part of the descriptors that callers may use if there are few.
constexpr std::size_t kCallerDescriptorDivisor = 2;
// Part of the limit that is shared among the connections.
constexpr std::size_t kSharedPartDivisor = 2;
// Part of what is still free of it that one connection may take. It keeps
// connections that came early from taking the share of later ones.
constexpr std::size_t kFreePartDivisor = 4;
// Bounds of the unsent bytes above which reading from a caller pauses.
constexpr std::size_t kMinPauseBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxPauseBytes = std::size_t{1} << 20;
// Statements of one caller that are unanswered before reading pauses: one that
// is being run, and the next one.
constexpr std::size_t kMaxUnanswered = 2;

}  // namespace

CallerBufferLimits CallerBufferLimitsFor(std::size_t memory_bytes,
                                         std::size_t max_descriptors) {
  CallerBufferLimits limits;
  limits.m_total_bytes = memory_bytes / kBufferedMemoryDivisor;
  limits.m_connections =
      max_descriptors > kReservedDescriptors * kCallerDescriptorDivisor
          ? max_descriptors - kReservedDescriptors
          : max_descriptors / kCallerDescriptorDivisor;
  return limits;
}

CallerBuffers::CallerBuffers(const CallerBufferLimits& limits)
    : m_limits(limits) {}

bool CallerBuffers::Update(SessionId id, const CallerLoad& load) {
  Connection& connection = m_connections[id.value()];
  m_total_bytes += load.bytes();
  m_total_bytes -= connection.m_load.bytes();
  connection.m_load = load;
  const std::size_t pause = PauseBytes();
  const std::size_t limit = connection.m_paused ? pause / 2 : pause;
  connection.m_paused =
      load.m_unsent_bytes > limit || load.m_unanswered >= kMaxUnanswered;
  return !connection.m_paused;
}

void CallerBuffers::Remove(SessionId id) {
  const auto found = m_connections.find(id.value());
  if (found != m_connections.end()) {
    m_total_bytes -= found->second.m_load.bytes();
    m_connections.erase(found);
  }
}

CallerLoad CallerBuffers::LoadOf(SessionId id) const {
  const auto found = m_connections.find(id.value());
  return found == m_connections.end() ? CallerLoad() : found->second.m_load;
}

std::optional<SessionId> CallerBuffers::ConnectionToClose() const {
  if (m_total_bytes <= m_limits.m_total_bytes) {
    return std::nullopt;
  }
  const auto heaviest = std::max_element(
      m_connections.begin(), m_connections.end(),
      [](const auto& a, const auto& b) {
        return a.second.m_load.bytes() < b.second.m_load.bytes();
      });
  return SessionId(heaviest->first);
}

std::size_t CallerBuffers::PauseBytes() const {
  const std::size_t shared = m_limits.m_total_bytes / kSharedPartDivisor;
  const std::size_t connections =
      std::max<std::size_t>(m_connections.size(), 1);
  const std::size_t free = shared - std::min(shared, m_total_bytes);
  return std::clamp(std::min(shared / connections, free / kFreePartDivisor),
                    kMinPauseBytes, kMaxPauseBytes);
}

}  // namespace jasminelug::gateway
