#include "src/core/lease_watch.h"

namespace jasminelug::core {

void LeaseWatch::OnObject(const Object& object, Time now) {
  ObservedLease& lease = m_leases[InstanceId(object.m_key.m_name)];
  if (object.m_revision <= lease.m_revision) {
    return;
  }
  const std::optional<LeaseRecord> record =
      object.m_deleted ? std::nullopt : m_reader(object);
  lease.m_version = object.m_version;
  lease.m_revision = object.m_revision;
  lease.m_deleted = object.m_deleted;
  lease.m_unchanged_since = now;
  if (record) {
    lease.m_record = *record;
  }
}

void LeaseWatch::OnPlatformContact(bool reachable, Time now) {
  m_in_contact = reachable;
  if (!reachable) {
    return;
  }
  for (auto& [instance, lease] : m_leases) {
    lease.m_unchanged_since = now;
  }
}

const ObservedLease* LeaseWatch::Find(const InstanceId& instance) const {
  const auto found = m_leases.find(instance);
  return found == m_leases.end() ? nullptr : &found->second;
}

bool LeaseWatch::HasLapsed(const InstanceId& instance, Time now) const {
  const ObservedLease* lease = Find(instance);
  return lease != nullptr && !lease->m_deleted && m_in_contact &&
         now > lease->m_unchanged_since +
                   WithClockDriftMargin(lease->m_record.m_duration);
}

std::vector<InstanceId> LeaseWatch::Live(Time now) const {
  std::vector<InstanceId> live;
  for (const auto& [instance, lease] : m_leases) {
    if (!lease.m_deleted && !HasLapsed(instance, now)) {
      live.push_back(instance);
    }
  }
  return live;
}

std::vector<InstanceId> LeaseWatch::Lapsed(Time now) const {
  std::vector<InstanceId> lapsed;
  for (const auto& [instance, lease] : m_leases) {
    if (HasLapsed(instance, now)) {
      lapsed.push_back(instance);
    }
  }
  return lapsed;
}

}  // namespace jasminelug::core
