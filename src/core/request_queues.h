#ifndef SRC_CORE_REQUEST_QUEUES_H_
#define SRC_CORE_REQUEST_QUEUES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/core/active_request.h"
#include "src/core/fair_queue.h"
#include "src/core/ids.h"

namespace jasminelug::core {

// The queues of requests that wait for connections to one database: one fair
// queue for the primary, independent of which member that is, and one for each
// replica.
class RequestQueues {
 public:
  // Adds a request to the queue of its replica, or to that of the primary if
  // the request has no replica.
  void Push(const ActiveRequest& request) {
    QueueOf(request).Push(request.m_allowance.m_customer, request.m_deadline,
                          request.m_handle);
  }

  // Removes a request from its queue.
  void Remove(const ActiveRequest& request) {
    QueueOf(request).Remove(request.m_handle);
  }

  FairQueue& Primary() { return m_primary; }
  std::map<MemberId, FairQueue>& Replicas() { return m_replicas; }

  // Returns the number of requests that wait for a replica.
  size_t SizeOf(const MemberId& replica) const {
    const auto found = m_replicas.find(replica);
    return found == m_replicas.end() ? 0 : found->second.size();
  }

  // Returns the number of requests of a customer in all queues.
  size_t SizeOf(const CustomerName& customer) const {
    size_t size = m_primary.SizeOf(customer);
    for (const auto& [member, queue] : m_replicas) {
      size += queue.SizeOf(customer);
    }
    return size;
  }

 private:
  FairQueue& QueueOf(const ActiveRequest& request) {
    return request.m_replica ? m_replicas[*request.m_replica] : m_primary;
  }

  FairQueue m_primary;
  std::map<MemberId, FairQueue> m_replicas;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_REQUEST_QUEUES_H_
