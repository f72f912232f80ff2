#ifndef SRC_GATEWAY_MEMBER_ANSWER_BYTES_H_
#define SRC_GATEWAY_MEMBER_ANSWER_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Bounds the memory of members' answers that are not complete. Reading from a
// member never pauses, because an answer that is not read occupies the member;
// so the connection with the largest answer is closed instead.
class MemberAnswerBytes {
 public:
  explicit MemberAnswerBytes(std::size_t limit_bytes);

  // Adds a part of an answer.
  void Add(ConnectionId id, std::size_t bytes);

  // Removes an answer that is complete or was given up.
  void Remove(ConnectionId id);

  // Returns the connection to close while the sum exceeds the limit; nullopt
  // within the limit.
  std::optional<ConnectionId> ConnectionToClose() const;

 private:
  const std::size_t m_limit_bytes;
  std::unordered_map<std::uint64_t, std::size_t> m_answers;
  std::size_t m_total_bytes = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_ANSWER_BYTES_H_
