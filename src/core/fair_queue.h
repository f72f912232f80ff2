#ifndef SRC_CORE_FAIR_QUEUE_H_
#define SRC_CORE_FAIR_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Queue of requests that wait for a connection. Customers are served in round
// robin order; within a customer the earliest deadline is served first.
//
// Plain round robin is fair because every statement costs one turn. Deficit
// round robin (Shreedhar and Varghese, 1995) is needed only for unequal costs.
class FairQueue {
 public:
  // Adds a request, which must not be in the queue yet.
  void Push(const CustomerName& customer, Time deadline, RequestHandle request);

  // Removes and returns the next request; returns nullopt if the queue is
  // empty.
  std::optional<RequestHandle> Pop();

  // Removes `request`. Returns whether it was in the queue.
  bool Remove(RequestHandle request);

  size_t size() const { return m_entries.size(); }
  bool empty() const { return m_entries.empty(); }

  // Returns the number of queued requests of `customer`.
  size_t SizeOf(const CustomerName& customer) const;

 private:
  using Waiting = std::set<std::pair<Time, RequestHandle>>;

  struct Entry {
    CustomerName m_customer;
    Time m_deadline;
  };

  std::map<CustomerName, Waiting> m_waiting;
  // Customers in the order in which they are served. A customer without
  // requests is removed when its turn comes.
  std::deque<CustomerName> m_turns;
  std::unordered_map<RequestHandle, Entry> m_entries;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_FAIR_QUEUE_H_
