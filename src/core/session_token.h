#ifndef SRC_CORE_SESSION_TOKEN_H_
#define SRC_CORE_SESSION_TOKEN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/ids.h"
#include "src/core/log_position.h"

namespace jasminelug::core {

// The state of one database that a session's reads must see.
struct SessionMark {
  // The session's last acknowledged write, or a later position it has read.
  LogPosition m_position;
  // The session has a write with an unknown outcome, so its next read must go
  // to the primary.
  bool m_uncertain = false;

  friend bool operator==(const SessionMark&, const SessionMark&) = default;
};

// A session's state. The caller sends it with each request; no instance stores
// it.
//
// The text form ends in a checksum, which detects corruption. It is not a
// signature: a caller that forges a token only changes the position that its
// own reads wait for.
class SessionToken {
 public:
  SessionToken() = default;

  // Parses the text form. Returns nullopt if it is corrupt. Empty text stands
  // for a new session.
  static std::optional<SessionToken> Parse(std::string_view text);

  // Returns the text form, which Parse() accepts.
  std::string Format() const;

  // Number of the session's last answered request; 0 before the first.
  uint64_t sequence() const { return m_sequence; }

  // Returns the mark of `database`, or an empty mark if the session has none.
  SessionMark MarkOf(const DatabaseName& database) const;

  // Returns this token with the given sequence number.
  SessionToken WithSequence(uint64_t sequence) const;

  // Returns this token after an answer that showed `position`. The mark of
  // `database` is then certain and at the later of `position` and its earlier
  // position; positions are ordered by term, then by index.
  SessionToken WithPosition(const DatabaseName& database,
                            const LogPosition& position) const;

  // Returns this token after a write with an unknown outcome.
  SessionToken WithUncertainty(const DatabaseName& database) const;

  friend bool operator==(const SessionToken&, const SessionToken&) = default;

 private:
  uint64_t m_sequence = 0;
  std::map<DatabaseName, SessionMark> m_marks;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SESSION_TOKEN_H_
