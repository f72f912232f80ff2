#ifndef SRC_GATEWAY_CALLER_BUFFERS_H_
#define SRC_GATEWAY_CALLER_BUFFERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// What an instance may buffer for its callers.
struct CallerBufferLimits {
  friend bool operator==(const CallerBufferLimits&,
                         const CallerBufferLimits&) = default;

  // Maximum sum of all connections' bytes.
  std::size_t m_total_bytes = 0;
  std::size_t m_connections = 0;
};

// Returns the limits of a process that may use `memory_bytes` and open
// `max_descriptors`.
CallerBufferLimits CallerBufferLimitsFor(std::size_t memory_bytes,
                                         std::size_t max_descriptors);

// What is held for one caller's connection.
struct CallerLoad {
  friend bool operator==(const CallerLoad&, const CallerLoad&) = default;

  // Memory that the load may take. A receive buffer grows by doubling.
  std::size_t bytes() const { return m_unsent_bytes + 2 * m_received_bytes; }

  // Answers that the connection has not accepted yet.
  std::size_t m_unsent_bytes = 0;
  // Received bytes that were not handed on as statements.
  std::size_t m_received_bytes = 0;
  // Statements that were handed on and are not answered.
  std::size_t m_unanswered = 0;
};

// Keeps the bytes that are buffered for callers within a limit. Decides when
// reading from a caller pauses, and which connection is closed if that is not
// enough.
//
// Reading pauses while the caller's unsent answers exceed an equal part of half
// the limit or a fraction of what is free of that half, or while several of its
// statements are unanswered. The other half is for the answers to statements
// that were read before, and for messages that are not complete.
class CallerBuffers {
 public:
  explicit CallerBuffers(const CallerBufferLimits& limits);

  // Sets the load of a connection, which is added if it is new. Returns whether
  // more may be read from it.
  bool Update(SessionId id, const CallerLoad& load);

  void Remove(SessionId id);

  // Returns the load of a connection; empty if it is not known.
  CallerLoad LoadOf(SessionId id) const;

  // Returns whether so many connections are too many.
  bool IsTooMany(std::size_t connections) const {
    return connections > m_limits.m_connections;
  }

  // Returns the connection to close while the sum of bytes exceeds the limit:
  // the one with the most bytes. Returns nullopt within the limit.
  std::optional<SessionId> ConnectionToClose() const;

  std::size_t total_bytes() const { return m_total_bytes; }

  // Returns the number of unsent bytes above which reading from a caller
  // pauses. Reading resumes at half of it.
  std::size_t PauseBytes() const;

 private:
  struct Connection {
    CallerLoad m_load;
    bool m_paused = false;
  };

  const CallerBufferLimits m_limits;
  std::unordered_map<std::uint64_t, Connection> m_connections;
  std::size_t m_total_bytes = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CALLER_BUFFERS_H_
