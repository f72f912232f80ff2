#include "src/core/connection_shares.h"

#include <algorithm>

#include "src/core/share_request.h"

namespace jasminelug::core {

void ConnectionShares::OnConfiguration(const Configuration& configuration,
                                       const ShareEnvironment& environment,
                                       Context& context) {
  (void)context;
  for (const auto& [name, entry] : m_entries) {
    entry->m_removed = true;
  }
  for (const auto& [name, database] : configuration.m_databases) {
    auto& entry = m_entries[name];
    if (!entry) {
      entry = std::make_unique<Entry>(name);
      m_by_name[entry->m_name] = entry.get();
    }
    entry->m_removed = false;
    if (entry->m_goal.m_units != database.m_connections) {
      entry->m_goal.m_units = database.m_connections;
      entry->m_goal_revision = configuration.m_revision;
    }
  }
  Refresh(environment);
}

void ConnectionShares::OnObject(const Object& object,
                                const ShareEnvironment& environment) {
  const auto found = m_by_name.find(object.m_key.m_name);
  if (found == m_by_name.end()) {
    return;
  }
  found->second->m_holder.OnObject(object);
  ApplyShare(*found->second, environment);
}

void ConnectionShares::OnTick(const ShareEnvironment& environment,
                              ReclaimedHolders& reclaimed,
                              Context& context) {
  for (const auto& [name, entry] : m_entries) {
    UpdateTable(*entry, environment, reclaimed, context);
  }
}

void ConnectionShares::Refresh(const ShareEnvironment& environment) {
  for (const auto& [name, entry] : m_entries) {
    ApplyShare(*entry, environment);
  }
}

uint32_t ConnectionShares::ShareOf(const DatabaseName& database,
                                   const ShareEnvironment& environment) const {
  const auto found = m_entries.find(database);
  return found == m_entries.end() ? 0
                                  : UsableShare(*found->second, environment);
}

bool ConnectionShares::OnPlatformAnswered(CallId call,
                                          const PlatformAnswer& answer,
                                          const ShareEnvironment& environment,
                                          Context& context) {
  const auto found = m_calls.find(call);
  if (found == m_calls.end()) {
    return false;
  }
  Entry& entry = *found->second;
  m_calls.erase(found);
  if (entry.m_holder.IsWaitingFor(call)) {
    entry.m_holder.OnPlatformAnswered(answer, context);
  }
  ApplyShare(entry, environment);
  return true;
}

bool ConnectionShares::ListsInstance(const InstanceId& instance) const {
  return std::any_of(m_entries.begin(), m_entries.end(),
                     [&instance](const auto& entry) {
                       return !entry.second->m_holder.IsUnlisted(instance);
                     });
}

uint32_t ConnectionShares::UsableShare(
    const Entry& entry,
    const ShareEnvironment& environment) const {
  const ShareOptions& options = environment.m_options;
  if (entry.m_removed || environment.m_releasing) {
    return 0;
  }
  if (options.m_policy == SharePolicy::kFixedEqual) {
    return static_cast<uint32_t>(entry.m_goal.m_units /
                                 options.m_fixed_instances);
  }
  return static_cast<uint32_t>(
      entry.m_holder.Usable(environment.m_self).m_units);
}

void ConnectionShares::ApplyShare(Entry& entry,
                                  const ShareEnvironment& environment) {
  const uint32_t share =
      environment.m_may_use ? UsableShare(entry, environment) : 0;
  if (share == entry.m_last_reported_share) {
    return;
  }
  entry.m_last_reported_share = share;
  if (m_hooks.m_on_connection_share_changed) {
    m_hooks.m_on_connection_share_changed(entry.m_database, share);
  }
}

bool ConnectionShares::HasAtMost(const Entry& entry,
                                 uint64_t connections) const {
  return m_hooks.m_connections_at_most &&
         m_hooks.m_connections_at_most(entry.m_database,
                                       static_cast<uint32_t>(connections));
}

void ConnectionShares::UpdateTable(Entry& entry,
                                   const ShareEnvironment& environment,
                                   ReclaimedHolders& reclaimed,
                                   Context& context) {
  ApplyShare(entry, environment);
  if (environment.m_options.m_policy == SharePolicy::kFixedEqual) {
    return;
  }
  if (!entry.m_holder.IsDue(context.Now()) && !environment.m_releasing) {
    return;
  }
  for (const ShareRow& row : entry.m_holder.table().m_rows) {
    if (row.m_holder.m_instance != environment.m_self.m_instance) {
      reclaimed.OnRow(row.m_holder, context);
    }
  }
  ShareTableInput input;
  input.m_self = environment.m_self;
  input.m_goal = entry.m_goal;
  input.m_goal_revision = entry.m_goal_revision;
  input.m_share_request =
      entry.m_removed
          ? ShareRequest{}
          : ComputeConnectionRequest(entry.m_name, entry.m_goal, environment);
  input.m_may_grow = environment.m_may_grow && !entry.m_removed;
  input.m_earlier_stopped = environment.m_earlier_stopped &&
                            HasAtMost(entry, entry.m_last_reported_share);
  input.m_grow_before_confirm =
      environment.m_options.m_mutations.m_grow_before_confirm;
  input.m_has_stopped = environment.m_has_stopped;
  input.m_uses_at_most = [this, &entry](const ShareAmount& amount) {
    return entry.m_last_reported_share <= amount.m_units &&
           HasAtMost(entry, amount.m_units);
  };
  if (const auto call = entry.m_holder.UpdateTable(input, context)) {
    m_calls[*call] = &entry;
    ApplyShare(entry, environment);
  }
}

}  // namespace jasminelug::core
