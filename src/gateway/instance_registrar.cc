#include "src/gateway/instance_registrar.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {

InstanceRegistrar::InstanceRegistrar(InstanceEntry entry, Hooks hooks)
    : m_entry(std::move(entry)), m_hooks(std::move(hooks)) {}

std::string InstanceRegistrar::NameOf(const InstanceId& id) {
  return "instance." + id.str();
}

void InstanceRegistrar::OnEntries(const StoreObjects& objects,
                                  Revision complete,
                                  Time now) {
  if (complete < m_written) {
    return;
  }
  m_listed = true;
  m_epoch = std::max(m_epoch, complete.epoch());
  const auto own = objects.find(NameOf(m_entry.m_id));
  bool registered = false;
  m_revision.reset();
  if (own != objects.end()) {
    m_revision = own->second.m_revision;
    const auto* entry = std::get_if<InstanceEntry>(&own->second.m_value);
    registered = entry && entry->IsSameRun(m_entry);
    m_outdated = IsOutdated(own->second);
  }
  SetRegistered(registered && !m_stopping, now);
  if (!registered && !m_calling && !m_stopping) {
    Write(now);
  }
}

// Returns whether the stored entry lacks what this instance has to announce.
bool InstanceRegistrar::IsOutdated(const StoreObject& stored) const {
  const auto* entry = std::get_if<InstanceEntry>(&stored.m_value);
  return !entry || entry->m_acknowledged < m_entry.m_acknowledged ||
         entry->m_leaving != m_entry.m_leaving;
}

void InstanceRegistrar::SetRegistered(bool registered, Time now) {
  if (!registered) {
    m_registered_since.reset();
  } else if (!m_registered_since) {
    m_registered_since = now;
  }
}

void InstanceRegistrar::Write(Time now) {
  m_calling = true;
  m_call_sent = now;
  m_hooks.m_write(NameOf(m_entry.m_id), m_entry, m_revision);
}

void InstanceRegistrar::OnWritten(const Result<StoreObject, StoreError>& result,
                                  Time now) {
  m_calling = false;
  if (m_stopping) {
    return;
  }
  if (IsOk(result)) {
    SetRegistered(true, now);
    // The entry may have changed during the call.
    m_outdated = IsOutdated(GetValue(result));
    m_revision = GetValue(result).m_revision;
    m_written = *m_revision;
    m_epoch = std::max(m_epoch, m_written.epoch());
    return;
  }
  const StoreErrorKind error = GetError(result).m_kind;
  if (error == StoreErrorKind::kNotFound) {
    m_revision.reset();
  }
  // After a conflict or a lost answer, newer entries show what the store holds.
  m_next_call =
      now + (error == StoreErrorKind::kConflict ? kConflictDelay : kRetryDelay);
}

void InstanceRegistrar::OnTick(Time now) {
  if (m_calling && now - m_call_sent > kCallTimeout) {
    m_hooks.m_abandon();
    m_calling = false;
    m_next_call = now + kRetryDelay;
  }
  const bool wanted = !is_registered() || m_outdated;
  const bool due = m_listed && wanted && !m_calling && !m_stopping;
  if (due && now >= m_next_call) {
    Write(now);
  }
}

void InstanceRegistrar::Acknowledge(Revision revision, Time now) {
  if (revision <= m_entry.m_acknowledged) {
    return;
  }
  m_entry.m_acknowledged = revision;
  m_outdated = true;
  if (m_listed && !m_calling && !m_stopping) {
    Write(now);
  }
}

void InstanceRegistrar::AnnounceStop(Time now) {
  m_entry.m_leaving = true;
  m_outdated = true;
  OnTick(now);
}

void InstanceRegistrar::Stop(Time now) {
  m_stopping = true;
  if (m_calling) {
    m_hooks.m_abandon();
    m_calling = false;
  }
  if (is_registered()) {
    m_hooks.m_delete(NameOf(m_entry.m_id));
  }
  SetRegistered(false, now);
}

}  // namespace jasminelug::gateway
