#ifndef SRC_CORE_LEASE_WATCH_H_
#define SRC_CORE_LEASE_WATCH_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "src/core/ids.h"
#include "src/core/lease_record.h"
#include "src/core/platform_call.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Parses the part of a lease object that the shares need; nullopt if the object
// is malformed.
using LeaseReader = std::function<std::optional<LeaseRecord>(const Object&)>;

// The last known state of one instance's lease object.
struct ObservedLease {
  uint64_t m_version = 0;
  Revision m_revision;
  bool m_deleted = false;
  LeaseRecord m_record;
  // Time at which this instance saw the last change, or at which contact with
  // the platform was last re-established, whichever is later.
  Time m_unchanged_since;

  friend bool operator==(const ObservedLease&, const ObservedLease&) = default;
};

// Tracks the lease objects of all instances, and for how long each of them has
// not changed. Only time in uninterrupted contact with the platform counts.
class LeaseWatch {
 public:
  explicit LeaseWatch(LeaseReader reader) : m_reader(std::move(reader)) {}

  void OnObject(const Object& object, Time now);
  void OnPlatformContact(bool reachable, Time now);

  // Returns the lease object, also if it was deleted; nullptr if none was seen.
  const ObservedLease* Find(const InstanceId& instance) const;

  // Returns whether the lease has certainly expired on its holder's clock. Does
  // not take lease extensions by peers into account.
  bool HasLapsed(const InstanceId& instance, Time now) const;

  // Returns the instances whose lease object exists and has not lapsed.
  std::vector<InstanceId> Live(Time now) const;

  // Returns the instances whose lease object exists and has lapsed.
  std::vector<InstanceId> Lapsed(Time now) const;

  bool InContact() const { return m_in_contact; }

 private:
  LeaseReader m_reader;
  std::map<InstanceId, ObservedLease> m_leases;
  bool m_in_contact = false;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_LEASE_WATCH_H_
