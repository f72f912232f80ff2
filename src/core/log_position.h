#ifndef SRC_CORE_LOG_POSITION_H_
#define SRC_CORE_LOG_POSITION_H_

#include <compare>
#include <cstdint>

#include "src/core/ids.h"

namespace jasminelug::core {

// A position in a database group's log: an index and the term in which the
// entry was written. Ordered by term first. Indexes of different terms can only
// be compared with the help of a TermLineage.
struct LogPosition {
  Term m_term;
  uint64_t m_index = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

// Describes how a term began. The entries below `m_start_index` are those of
// the log whose member was promoted. The last of those entries was written in
// `m_previous_term`.
struct TermLineage {
  Term m_term;
  uint64_t m_start_index = 0;
  Term m_previous_term;

  friend bool operator==(const TermLineage&, const TermLineage&) = default;
};

// Whether the log of a later term contains an entry of an earlier term.
enum class Survival { kHeld, kLost, kUndecided };

// Returns whether the log described by `lineage` contains the entry at
// `position`.
//
// This can only be decided for the term itself and for the term that directly
// precedes it. The entries below the start index are those of the promoted log,
// so an index below it is kept, and an index at or above it was truncated.
inline Survival SurvivalOf(const LogPosition& position,
                           const TermLineage& lineage) {
  if (position.m_term == lineage.m_term) {
    return Survival::kHeld;
  }
  if (position.m_term != lineage.m_previous_term) {
    return Survival::kUndecided;
  }
  return position.m_index < lineage.m_start_index ? Survival::kHeld
                                                  : Survival::kLost;
}

}  // namespace jasminelug::core

#endif  // SRC_CORE_LOG_POSITION_H_
