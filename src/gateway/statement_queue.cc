#include "src/gateway/statement_queue.h"

#include <algorithm>

namespace jasminelug::gateway {

std::vector<QueuedStatement> StatementQueue::InOrder(Time now) const {
  std::vector<QueuedStatement> order(m_statements.begin(), m_statements.end());
  std::stable_partition(order.begin(), order.end(),
                        [now](const QueuedStatement& queued) {
                          return queued.m_objective_at >= now;
                        });
  return order;
}

std::size_t StatementQueue::CountAhead(const QueuedStatement& queued,
                                       bool count_primary,
                                       Time now) const {
  return static_cast<std::size_t>(std::count_if(
      m_statements.begin(), m_statements.lower_bound(queued),
      [&](const QueuedStatement& w) {
        return w.m_objective_at >= now && (count_primary || !w.m_needs_primary);
      }));
}

}  // namespace jasminelug::gateway
