#ifndef SRC_GATEWAY_FORWARD_HOST_H_
#define SRC_GATEWAY_FORWARD_HOST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/gateway/forwarding.h"
#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Whose operation a session runs.
struct ForwardOrigin {
  friend auto operator<=>(const ForwardOrigin&, const ForwardOrigin&) = default;

  InstanceId m_instance;
  Incarnation m_incarnation;
  OperationId m_operation;
};

// The sessions that run other instances' operations.
class ForwardHost {
 public:
  // What is at work is confirmed to its sender this often.
  static constexpr Duration kProgressInterval = 100ms;

  // What is to be said to one sender.
  struct DueProgress {
    friend bool operator==(const DueProgress&, const DueProgress&) = default;

    InstanceId m_instance;
    ForwardProgress m_progress;
  };

  // Whether `session` runs another instance's operation.
  static bool Owns(SessionId session);

  // Returns the session of an operation; nullopt where there is none.
  std::optional<SessionId> Find(const ForwardOrigin& origin) const;

  // Adds a session for an operation.
  SessionId Add(const ForwardOrigin& origin);

  // Returns whose operation the session runs, or null.
  const ForwardOrigin* OriginOf(SessionId session) const;

  void Remove(SessionId session);

  // A statement of the session was received, or answered.
  void NoteReceived(SessionId session, Time now);
  void NoteAnswered(SessionId session);

  // Returns the sessions of earlier incarnations of `instance`.
  std::vector<SessionId> EarlierSessions(const InstanceId& instance,
                                         Incarnation incarnation) const;

  // Returns what is at work for one sender.
  ForwardProgress ProgressFor(const InstanceId& instance) const;

  // Returns what is to be confirmed now, where anything has been at work for
  // kProgressInterval.
  std::vector<DueProgress> TakeDueProgress(Time now);

 private:
  struct Run {
    ForwardOrigin m_origin;
    std::optional<Time> m_working_since;
  };

  std::map<ForwardOrigin, SessionId> m_sessions;
  std::map<SessionId, Run> m_runs;
  std::uint64_t m_next_id = 0;
  Time m_confirmed;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FORWARD_HOST_H_
