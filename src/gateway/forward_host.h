#ifndef SRC_GATEWAY_FORWARD_HOST_H_
#define SRC_GATEWAY_FORWARD_HOST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/gateway/forwarding.h"
#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Identifies an operation of another instance: its sender, the sender's
// incarnation, and the number that the sender gave it.
struct ForwardOrigin {
  friend auto operator<=>(const ForwardOrigin&, const ForwardOrigin&) = default;

  InstanceId m_instance;
  Incarnation m_incarnation;
  OperationId m_operation;
};

// Tracks the sessions that run operations of other instances, the senders.
class ForwardHost {
 public:
  // Interval at which operations with an unanswered statement are confirmed to
  // their senders.
  static constexpr Duration kProgressInterval = 100ms;

  // A confirmation that is to be sent to one sender.
  struct DueProgress {
    friend bool operator==(const DueProgress&, const DueProgress&) = default;

    InstanceId m_instance;
    ForwardProgress m_progress;
  };

  // Returns whether `session` runs an operation of another instance.
  static bool Owns(SessionId session);

  // Returns the session of an operation; nullopt if there is none.
  std::optional<SessionId> Find(const ForwardOrigin& origin) const;

  // Adds a session for an operation and returns its id.
  SessionId Add(const ForwardOrigin& origin);

  // Returns the origin of the operation that the session runs, or null.
  const ForwardOrigin* OriginOf(SessionId session) const;

  void Remove(SessionId session);

  // Records that a statement of the session was received. Returns whether it is
  // to be run: it is neither a repetition nor out of order.
  bool NoteReceived(SessionId session, StatementNumber number, Time now);
  // Records that the statement was answered, and returns its number.
  StatementNumber NoteAnswered(SessionId session);

  // Returns the sessions of those incarnations of `instance` that are earlier
  // than `incarnation`.
  std::vector<SessionId> EarlierSessions(const InstanceId& instance,
                                         Incarnation incarnation) const;

  // Returns the operations of one sender that have an unanswered statement.
  ForwardProgress ProgressFor(const InstanceId& instance) const;

  // Returns the confirmations that are due: one for each sender with an
  // operation that has been unanswered for kProgressInterval. Returns none if
  // the last ones were taken less than kProgressInterval ago.
  std::vector<DueProgress> TakeDueProgress(Time now);

 private:
  struct Run {
    ForwardOrigin m_origin;
    // Number of the statement that was received last.
    StatementNumber m_number{};
    std::optional<Time> m_working_since{};
  };

  std::map<ForwardOrigin, SessionId> m_sessions;
  std::map<SessionId, Run> m_runs;
  std::uint64_t m_next_id = 0;
  Time m_confirmed;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FORWARD_HOST_H_
