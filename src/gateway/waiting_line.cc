#include "src/gateway/waiting_line.h"

#include <algorithm>

namespace jasminelug::gateway {

std::vector<Waiter> WaitingLine::InOrder(Time now) const {
  const auto in_time = std::find_if(
      m_waiters.begin(), m_waiters.end(),
      [now](const Waiter& waiter) { return waiter.m_objective_at >= now; });
  std::vector<Waiter> order(in_time, m_waiters.end());
  order.insert(order.end(), m_waiters.begin(), in_time);
  return order;
}

std::size_t WaitingLine::CountWaiting(bool needs_primary) const {
  return static_cast<std::size_t>(std::count_if(
      m_waiters.begin(), m_waiters.end(), [needs_primary](const Waiter& w) {
        return w.m_needs_primary == needs_primary;
      }));
}

}  // namespace jasminelug::gateway
