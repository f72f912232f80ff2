#include "src/gateway/waiting_line.h"

#include <algorithm>

namespace jasminelug::gateway {

std::vector<Waiter> WaitingLine::InOrder(Time now) const {
  std::vector<Waiter> order(m_waiters.begin(), m_waiters.end());
  std::stable_partition(
      order.begin(), order.end(),
      [now](const Waiter& waiter) { return waiter.m_objective_at >= now; });
  return order;
}

std::size_t WaitingLine::CountAhead(const Waiter& waiter,
                                    bool count_primary,
                                    Time now) const {
  return static_cast<std::size_t>(std::count_if(
      m_waiters.begin(), m_waiters.lower_bound(waiter), [&](const Waiter& w) {
        return w.m_objective_at >= now && (count_primary || !w.m_needs_primary);
      }));
}

}  // namespace jasminelug::gateway
