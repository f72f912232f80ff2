#ifndef SRC_CORE_CONFIRMATION_QUEUE_H_
#define SRC_CORE_CONFIRMATION_QUEUE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "src/core/group_view.h"
#include "src/core/ids.h"
#include "src/core/log_position.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Identifies a write or a read that waits for confirmation by a majority of a
// group.
using ConfirmationId = Number<struct ConfirmationTag>;

// The result of a confirmation.
enum class Confirmation {
  // A majority holds a write, or a majority confirmed that the primary that
  // served a read had not been replaced.
  kConfirmed,
  // A write is not in the log and never will be.
  kLost,
  // The outcome cannot be determined.
  kUndecided,
};

// A confirmation that has ended, and its result.
struct SettledConfirmation {
  ConfirmationId m_id;
  Confirmation m_result = Confirmation::kUndecided;

  friend bool operator==(const SettledConfirmation&,
                         const SettledConfirmation&) = default;
};

// Holds writes until a majority of the group holds them, and reads until a
// majority confirms the primary's term.
//
// A write at term T and index P is confirmed by a majority that holds P at
// term T. The promotion to any later term requires grants from a majority.
// The two majorities share at least one member, which held P when it granted
// the later term, so the log of the promoted member holds P.
//
// A write whose term is over is settled by the lineage of the next term, once
// a majority holds the beginning of that term. Until then, a member that still
// has the end of the old term's log could be promoted.
class ConfirmationQueue {
 public:
  // Adds a write that the primary has committed at `position`.
  ConfirmationId AddWrite(const LogPosition& position, Time now);

  // Adds a read that a primary of `term` has served. The majority must confirm
  // that the term was still current at `received`, normally the time at which
  // this instance received the read.
  ConfirmationId AddRead(Term term, Time received);

  // Removes a write or a read without settling it.
  void Remove(ConfirmationId id);

  // Removes and returns the confirmations that `view` settles.
  std::vector<SettledConfirmation> Settle(const GroupView& view);

  bool empty() const { return m_writes.empty() && m_reads.empty(); }

  // Returns when the oldest write was added, or Time::max() if there is none.
  Time OldestWrite() const;

 private:
  struct PendingWrite {
    LogPosition m_position;
    Time m_added;
  };

  struct PendingRead {
    Term m_term;
    Time m_received;
  };

  void SettleWrites(const GroupView& view,
                    std::vector<SettledConfirmation>* settled);
  void SettleReads(const GroupView& view,
                   std::vector<SettledConfirmation>* settled);

  std::map<ConfirmationId, PendingWrite> m_writes;
  std::map<ConfirmationId, PendingRead> m_reads;
  uint64_t m_last_id = 0;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIRMATION_QUEUE_H_
