#ifndef SRC_GATEWAY_STORE_CONTACT_H_
#define SRC_GATEWAY_STORE_CONTACT_H_

#include <algorithm>
#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Holds the time of the last contact with the store, at which the store
// confirmed that this instance's copy of its state is current.
//
// The time is that at which the confirmed call was sent, on a clock that also
// advances while the machine is suspended. The copy is no older than that.
class StoreContact {
 public:
  // Records that a call sent at `sent` returned the current state.
  void RecordContact(Time sent) {
    m_last_contact = m_last_contact ? std::max(*m_last_contact, sent) : sent;
  }

  // Sets the time before which contact does not count for IsFresh(); nullopt if
  // none counts. By default, all contact counts.
  void CountFrom(std::optional<Time> since) { m_counts_from = since; }

  // Returns whether the last contact counts and is less than `limit` ago at
  // `now`.
  bool IsFresh(Time now, Duration limit) const {
    return m_last_contact && m_counts_from &&
           *m_last_contact >= *m_counts_from && now - *m_last_contact < limit;
  }

  // Returns the time since the last contact, or nullopt before the first one.
  std::optional<Duration> Age(Time now) const {
    if (!m_last_contact) {
      return std::nullopt;
    }
    return now - *m_last_contact;
  }

 private:
  std::optional<Time> m_last_contact;
  std::optional<Time> m_counts_from = Time::min();
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STORE_CONTACT_H_
