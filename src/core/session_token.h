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

// What a session must see of one database.
struct SessionMark {
  // The session's last acknowledged write, or a later position it has read.
  LogPosition m_position;
  // A write's outcome is unknown to the session: its next read asks the
  // primary.
  bool m_uncertain = false;

  friend bool operator==(const SessionMark&, const SessionMark&) = default;
};

// A session's state, which travels with the caller: no instance keeps it.
//
// The text form ends in a checksum that finds damage. It is no signature: a
// caller that forges a token changes nothing but what its own reads wait for.
class SessionToken {
 public:
  SessionToken() = default;

  // Reads the text form; nullopt where it is damaged. Empty text is a new
  // session.
  static std::optional<SessionToken> Parse(std::string_view text);

  // Writes the text form; see Parse().
  std::string Format() const;

  // Number of the session's last answered request; 0 before the first.
  uint64_t sequence() const { return m_sequence; }

  // Returns the mark of `database`, empty where the session has none.
  SessionMark MarkOf(const DatabaseName& database) const;

  // Returns this token with the given sequence number.
  SessionToken WithSequence(uint64_t sequence) const;

  // Returns this token after an answer that showed `position`: certain, and
  // never behind the mark it had at the same or a later term.
  SessionToken WithPosition(const DatabaseName& database,
                            const LogPosition& position) const;

  // Returns this token after a write whose outcome is unknown.
  SessionToken WithUncertainty(const DatabaseName& database) const;

  friend bool operator==(const SessionToken&, const SessionToken&) = default;

 private:
  uint64_t m_sequence = 0;
  std::map<DatabaseName, SessionMark> m_marks;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SESSION_TOKEN_H_
