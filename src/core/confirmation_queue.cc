#include "src/core/confirmation_queue.h"

#include <optional>

namespace jasminelug::core {
namespace {

// Returns the result for a write of a term that is over, or nullopt if no
// majority holds the beginning of the next term yet.
std::optional<Confirmation> SettleByLineage(const LogPosition& position,
                                            const GroupView& view) {
  if (position.m_term > view.term()) {
    return std::nullopt;
  }
  const std::optional<TermLineage> lineage = view.ConfirmedLineage();
  if (!lineage) {
    return std::nullopt;
  }
  switch (SurvivalOf(position, *lineage)) {
    case Survival::kHeld:
      return Confirmation::kConfirmed;
    case Survival::kLost:
      return Confirmation::kLost;
    case Survival::kUndecided:
      return Confirmation::kUndecided;
  }
  return Confirmation::kUndecided;
}

}  // namespace

ConfirmationId ConfirmationQueue::AddWrite(const LogPosition& position,
                                           Time now) {
  const ConfirmationId id(++m_last_id);
  m_writes.emplace(id, PendingWrite{position, now});
  return id;
}

ConfirmationId ConfirmationQueue::AddRead(Term term, Time received) {
  const ConfirmationId id(++m_last_id);
  m_reads.emplace(id, PendingRead{term, received});
  return id;
}

void ConfirmationQueue::Remove(ConfirmationId id) {
  m_writes.erase(id);
  m_reads.erase(id);
}

std::vector<SettledConfirmation> ConfirmationQueue::Settle(
    const GroupView& view) {
  std::vector<SettledConfirmation> settled;
  SettleWrites(view, &settled);
  SettleReads(view, &settled);
  return settled;
}

Time ConfirmationQueue::OldestWrite() const {
  // Ids increase with time, so the first write is the oldest.
  return m_writes.empty() ? Time::max() : m_writes.begin()->second.m_added;
}

void ConfirmationQueue::SettleWrites(
    const GroupView& view,
    std::vector<SettledConfirmation>* settled) {
  const uint64_t held = view.MajorityLogIndex(view.term());
  for (auto write = m_writes.begin(); write != m_writes.end();) {
    const LogPosition& position = write->second.m_position;
    std::optional<Confirmation> result;
    if (position.m_term != view.term()) {
      result = SettleByLineage(position, view);
    } else if (position.m_index <= held) {
      result = Confirmation::kConfirmed;
    }
    if (!result) {
      ++write;
      continue;
    }
    settled->push_back({write->first, *result});
    write = m_writes.erase(write);
  }
}

void ConfirmationQueue::SettleReads(const GroupView& view,
                                    std::vector<SettledConfirmation>* settled) {
  for (auto read = m_reads.begin(); read != m_reads.end();) {
    const PendingRead& pending = read->second;
    if (pending.m_term < view.HighestGranted()) {
      settled->push_back({read->first, Confirmation::kUndecided});
    } else if (view.HasMajorityAtTerm(pending.m_term, pending.m_received)) {
      settled->push_back({read->first, Confirmation::kConfirmed});
    } else {
      ++read;
      continue;
    }
    read = m_reads.erase(read);
  }
}

}  // namespace jasminelug::core
