#ifndef SRC_GATEWAY_STATEMENT_QUEUE_H_
#define SRC_GATEWAY_STATEMENT_QUEUE_H_

#include <cstddef>
#include <set>
#include <vector>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// A session's statement that is waiting for a connection to a group. The order
// of the members is the order of the queue.
struct QueuedStatement {
  friend auto operator<=>(const QueuedStatement&,
                          const QueuedStatement&) = default;

  // Priority of the session's route; 0 is the highest.
  int m_priority = 0;
  // Time until which an answer meets the objective of the statement.
  Time m_objective_at;
  SessionId m_session;
  bool m_needs_primary = true;
};

// Queue of the statements of one group that are waiting to be placed.
//
// Statements that can still meet their objective come first, by priority and
// then by the time at which they would miss it. Statements that have already
// missed it come last, so that the backlog of a burst does not make every
// further statement late as well.
class StatementQueue {
 public:
  void Add(const QueuedStatement& queued) { m_statements.insert(queued); }
  void Remove(const QueuedStatement& queued) { m_statements.erase(queued); }

  // Returns all statements in the order in which they are to be placed at
  // `now`.
  std::vector<QueuedStatement> InOrder(Time now) const;

  // Returns how many of the statements that can still meet their objective are
  // placed before `queued`, if that is in the queue or is added at `now`.
  // Counts statements that need the primary only if `count_primary` is set.
  std::size_t CountAhead(const QueuedStatement& queued,
                         bool count_primary,
                         Time now) const;

  std::size_t size() const { return m_statements.size(); }
  bool empty() const { return m_statements.empty(); }

 private:
  std::set<QueuedStatement> m_statements;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STATEMENT_QUEUE_H_
