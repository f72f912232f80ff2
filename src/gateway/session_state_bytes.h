#ifndef SRC_GATEWAY_SESSION_STATE_BYTES_H_
#define SRC_GATEWAY_SESSION_STATE_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Bounds the memory of the values and prepared statements that callers keep in
// their sessions. A session may always keep a few; a session that keeps many is
// the first that may not add more.
class SessionStateBytes {
 public:
  explicit SessionStateBytes(std::size_t limit_bytes);

  // Replaces `removed_bytes` of the session's state by `added_bytes`. Returns
  // false, and changes nothing, if that exceeds the limit.
  bool Replace(SessionId id,
               std::size_t removed_bytes,
               std::size_t added_bytes);

  void Remove(SessionId id);

  std::size_t total_bytes() const { return m_total_bytes; }

 private:
  const std::size_t m_limit_bytes;
  std::unordered_map<std::uint64_t, std::size_t> m_sessions;
  std::size_t m_total_bytes = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_SESSION_STATE_BYTES_H_
