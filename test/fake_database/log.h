#ifndef TEST_FAKE_DATABASE_LOG_H_
#define TEST_FAKE_DATABASE_LOG_H_

#include <vector>

#include "jasminelug/databases.h"

namespace jasminelug::fake_database {

using databases::Position;
using databases::Statement;
using databases::Term;

// One committed transaction. The entry that marks a term has no statements.
struct LogEntry {
  Term m_term = 0;
  Position m_position = 0;
  std::vector<Statement> m_statements;

  bool operator==(const LogEntry&) const = default;
};

// The position at which a term's entries begin.
struct TermStart {
  Term m_term = 0;
  Position m_position = 0;

  bool operator==(const TermStart&) const = default;
};

// What a log holds, without its statements: where each term begins, and the
// last position.
struct LogOutline {
  std::vector<TermStart> m_terms;
  Position m_last = 0;

  // Returns the term of the entry at `position`, 0 where there is none.
  Term TermAt(Position position) const;

  bool operator==(const LogOutline&) const = default;
};

// A member's log: entries with positions 1, 2, ... and terms that never fall.
class Log {
 public:
  // Appends a transaction at the next position and returns its entry.
  const LogEntry& Append(Term term, std::vector<Statement> statements);

  // Drops the entries above `position`.
  void TruncateTo(Position position);

  Position LastPosition() const { return m_entries.size(); }

  // Returns the term of the last entry, 0 for an empty log.
  Term LastTerm() const { return TermAt(LastPosition()); }

  // Returns the term of the entry at `position`, 0 where there is none.
  Term TermAt(Position position) const;

  // Returns the position at which the last entry's term began.
  Position LastTermStart() const;

  // `position` must be held.
  const LogEntry& EntryAt(Position position) const;

  LogOutline Outline() const;

  // Returns the last position up to which this log and the other are the
  // same: entries with the same term and position follow the same log.
  Position CommonPrefix(const LogOutline& other) const;

 private:
  std::vector<LogEntry> m_entries;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_LOG_H_
