#include "src/core/fair_queue.h"

#include "src/common/assert.h"

namespace jasminelug::core {

void FairQueue::Push(const CustomerName& customer,
                     Time deadline,
                     RequestHandle request) {
  const bool added =
      m_entries.emplace(request, Entry{customer, deadline}).second;
  JASMINELUG_ASSERT(added, REQUEST_IS_QUEUED_ONCE);
  const auto [waiting, is_new] = m_waiting.try_emplace(customer);
  if (is_new) {
    m_turns.push_back(customer);
  }
  waiting->second.emplace(deadline, request);
}

std::optional<RequestHandle> FairQueue::Pop() {
  while (!m_turns.empty()) {
    const CustomerName customer = std::move(m_turns.front());
    m_turns.pop_front();
    const auto waiting = m_waiting.find(customer);
    if (waiting->second.empty()) {
      m_waiting.erase(waiting);
      continue;
    }
    const RequestHandle request = waiting->second.begin()->second;
    waiting->second.erase(waiting->second.begin());
    m_entries.erase(request);
    m_turns.push_back(customer);
    return request;
  }
  return std::nullopt;
}

bool FairQueue::Remove(RequestHandle request) {
  const auto entry = m_entries.find(request);
  if (entry == m_entries.end()) {
    return false;
  }
  const Entry& removed = entry->second;
  m_waiting.at(removed.m_customer).erase({removed.m_deadline, request});
  m_entries.erase(entry);
  return true;
}

size_t FairQueue::SizeOf(const CustomerName& customer) const {
  const auto waiting = m_waiting.find(customer);
  return waiting == m_waiting.end() ? 0 : waiting->second.size();
}

}  // namespace jasminelug::core
