#ifndef SRC_CORE_LOG_POSITION_H_
#define SRC_CORE_LOG_POSITION_H_

#include <compare>
#include <cstdint>

#include "src/core/ids.h"

namespace jasminelug::core {

// A place in a database group's log: an index written at a term. Ordered by
// term first; indexes of different terms are compared only through a
// TermLineage.
struct LogPosition {
  Term m_term;
  uint64_t m_index = 0;

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

// How a term began: the entries below `m_start_index` are those of the log
// that was promoted, whose last entry was of `m_previous_term`.
struct TermLineage {
  Term m_term;
  uint64_t m_start_index = 0;
  Term m_previous_term;

  friend bool operator==(const TermLineage&, const TermLineage&) = default;
};

// Whether the log of a later term holds an earlier position.
enum class Survival { kHeld, kLost, kUndecided };

// Tells whether the log that `lineage` describes holds `position`.
//
// Only the term that directly precedes can be decided: its entries below the
// start are the promoted log's own, so an index below the start is held and
// one at or above it was cut off.
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
