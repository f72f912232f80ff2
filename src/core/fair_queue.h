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

// Requests that wait for a connection: customers take turns, and within a
// customer the earliest deadline goes first.
//
// Every statement costs one turn, so this is round robin, the deficit form of
// which (Shreedhar and Varghese, 1995) is needed only for unequal costs.
class FairQueue {
 public:
  // Adds a request that is not in the queue.
  void Push(const CustomerName& customer, Time deadline, RequestHandle request);

  // Removes and returns the request whose turn it is.
  std::optional<RequestHandle> Pop();

  // Removes `request`; returns whether it was waiting.
  bool Remove(RequestHandle request);

  size_t size() const { return m_entries.size(); }
  bool empty() const { return m_entries.empty(); }

  // Number of requests of `customer` that wait.
  size_t SizeOf(const CustomerName& customer) const;

 private:
  using Waiting = std::set<std::pair<Time, RequestHandle>>;

  struct Entry {
    CustomerName m_customer;
    Time m_deadline;
  };

  std::map<CustomerName, Waiting> m_waiting;
  // Customers in the order of their turns; one with nothing left is dropped
  // when its turn comes.
  std::deque<CustomerName> m_turns;
  std::unordered_map<RequestHandle, Entry> m_entries;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_FAIR_QUEUE_H_
