#include "src/core/allowance_shares.h"

#include <algorithm>

namespace jasminelug::core {
namespace {

constexpr uint64_t kMillicreditsPerStatement = 1000;
// Number of ticks over which all tables are processed once.
constexpr size_t kTicksPerRound = 8;
constexpr Duration kRequestUpdateInterval = 2s;

std::string TableName(const AllowanceKey& key) {
  return "rate/" + key.m_customer.str() + "/" + key.m_profile.str();
}

ShareAmount GoalFromProfile(const Profile& profile) {
  return {profile.m_rate_per_second * kMillicreditsPerStatement,
          profile.m_burst * kMillicreditsPerStatement};
}

}  // namespace

void AllowanceShares::OnConfiguration(const Configuration& configuration,
                                      const ShareEnvironment& environment,
                                      Context& context) {
  for (const auto& [key, entry] : m_entries) {
    entry->m_removed = true;
  }
  for (const auto& [name, customer] : configuration.m_customers) {
    for (const ProfileName& profile_name : customer.m_profiles) {
      const auto profile = configuration.m_profiles.find(profile_name);
      if (profile != configuration.m_profiles.end()) {
        Install({name, profile_name}, profile->second,
                configuration.m_revision);
      }
    }
  }
  for (const auto& [name, profile] : configuration.m_profiles) {
    if (profile.m_open_to_all) {
      Install({CustomerName(), name}, profile, configuration.m_revision);
    }
  }
  for (const auto& [key, entry] : m_entries) {
    entry->m_next_request_update = context.Now();
  }
  Refresh(environment, context);
}

void AllowanceShares::OnObject(const Object& object,
                               const ShareEnvironment& environment,
                               Context& context) {
  const auto found = m_by_name.find(object.m_key.m_name);
  if (found == m_by_name.end()) {
    return;
  }
  Entry& entry = *found->second;
  entry.m_holder.OnObject(object);
  UpdateCreditPeers(entry, environment);
  ApplyShare(entry, environment, context);
}

void AllowanceShares::OnTick(const ShareEnvironment& environment,
                             ReclaimedHolders& reclaimed,
                             Context& context) {
  if (m_last_live != environment.m_live ||
      m_last_releasing != environment.m_releasing) {
    m_last_live = environment.m_live;
    m_last_releasing = environment.m_releasing;
    for (Entry* entry : m_ordered_entries) {
      entry->m_next_request_update = context.Now();
    }
  }
  for (Entry* entry : m_ordered_entries) {
    if (entry->m_account.IsShort()) {
      entry->m_account.RequestIfShort(entry->m_credit_peers, m_last_number,
                                      context);
      entry->m_account.OnTick(context.Now());
    }
  }
  const size_t count =
      (m_ordered_entries.size() + kTicksPerRound - 1) / kTicksPerRound;
  for (size_t i = 0; i < count; ++i) {
    m_next_entry = (m_next_entry + 1) % m_ordered_entries.size();
    UpdateTable(*m_ordered_entries[m_next_entry], environment, reclaimed,
                context);
  }
}

void AllowanceShares::Refresh(const ShareEnvironment& environment,
                              Context& context) {
  for (Entry* entry : m_ordered_entries) {
    ApplyShare(*entry, environment, context);
  }
}

AllowanceAccount* AllowanceShares::Find(const AllowanceKey& key) {
  const auto found = m_entries.find(key);
  return found == m_entries.end() || found->second->m_removed
             ? nullptr
             : &found->second->m_account;
}

const AllowanceAccount* AllowanceShares::Find(const AllowanceKey& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() || found->second->m_removed
             ? nullptr
             : &found->second->m_account;
}

bool AllowanceShares::MayReceiveCredit(const AllowanceKey& key,
                                       Duration max_wait,
                                       Time now) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return false;
  }
  const Entry& entry = *found->second;
  // While the table is unknown, credit may still arrive.
  return entry.m_holder.table().m_rows.empty() ||
         entry.m_account.MayReceiveCredit(entry.m_credit_peers, max_wait, now);
}

void AllowanceShares::RequestIfShort(const AllowanceKey& key,
                                     Context& context) {
  Entry& entry = *m_entries.find(key)->second;
  entry.m_account.RequestIfShort(entry.m_credit_peers, m_last_number, context);
}

bool AllowanceShares::OnPlatformAnswered(CallId call,
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
  UpdateCreditPeers(entry, environment);
  ApplyShare(entry, environment, context);
  return true;
}

bool AllowanceShares::ListsInstance(const InstanceId& instance) const {
  return std::any_of(m_ordered_entries.begin(), m_ordered_entries.end(),
                     [&instance](const Entry* entry) {
                       return !entry->m_holder.IsUnlisted(instance);
                     });
}

void AllowanceShares::Install(const AllowanceKey& key,
                              const Profile& profile,
                              Revision revision) {
  auto& entry = m_entries[key];
  if (!entry) {
    entry = std::make_unique<Entry>(key, TableName(key));
    m_by_name[entry->m_name] = entry.get();
    m_ordered_entries.push_back(entry.get());
  }
  entry->m_removed = false;
  const ShareAmount goal = GoalFromProfile(profile);
  if (goal != entry->m_goal) {
    entry->m_goal = goal;
    entry->m_goal_revision = revision;
  }
}

void AllowanceShares::ApplyShare(Entry& entry,
                                 const ShareEnvironment& environment,
                                 Context& context) {
  const ShareOptions& options = environment.m_options;
  const Time now = context.Now();
  if (options.m_policy == SharePolicy::kFixedEqual) {
    const uint64_t parts = options.m_fixed_instances;
    entry.m_account.SetShare(
        {entry.m_goal.m_units / parts, entry.m_goal.m_burst / parts}, now);
    return;
  }
  const bool usable = environment.m_may_use && !environment.m_releasing;
  entry.m_account.SetShare(
      usable ? entry.m_holder.Usable(environment.m_self) : ShareAmount{}, now);
  if (options.m_mutations.m_restart_keeps_bucket && !entry.m_had_share) {
    entry.m_account.Fill(now);
    entry.m_had_share = entry.m_account.Level(now) > 0;
  }
}

void AllowanceShares::UpdateTable(Entry& entry,
                                  const ShareEnvironment& environment,
                                  ReclaimedHolders& reclaimed,
                                  Context& context) {
  const Time now = context.Now();
  entry.m_account.OnTick(now);
  ApplyShare(entry, environment, context);
  if (environment.m_options.m_policy == SharePolicy::kFixedEqual) {
    return;
  }
  UpdateShareRequest(entry, environment, context);
  if (!entry.m_holder.IsDue(now)) {
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
  input.m_share_request = entry.m_share_request;
  input.m_may_grow = environment.m_may_grow && !entry.m_removed;
  input.m_earlier_stopped = environment.m_earlier_stopped;
  input.m_grow_before_confirm =
      environment.m_options.m_mutations.m_grow_before_confirm;
  input.m_has_stopped = environment.m_has_stopped;
  input.m_uses_at_most = [&entry, now](const ShareAmount& amount) {
    return entry.m_account.UsesAtMost(amount, now);
  };
  if (const auto call = entry.m_holder.UpdateTable(input, context)) {
    m_calls[*call] = &entry;
    ApplyShare(entry, environment, context);
  }
}

void AllowanceShares::UpdateShareRequest(Entry& entry,
                                         const ShareEnvironment& environment,
                                         Context& context) {
  if (context.Now() < entry.m_next_request_update) {
    return;
  }
  entry.m_next_request_update = context.Now() + kRequestUpdateInterval / 2 +
                                context.RandomUpTo(kRequestUpdateInterval);
  entry.m_share_request =
      entry.m_removed
          ? ShareRequest{}
          : ComputeAllowanceRequest(entry.m_name, entry.m_goal,
                                    entry.m_account.LongTermDemand(),
                                    entry.m_share_request, environment);
}

void AllowanceShares::UpdateCreditPeers(Entry& entry,
                                        const ShareEnvironment& environment) {
  entry.m_credit_peers.clear();
  for (const ShareRow& row : entry.m_holder.table().m_rows) {
    const InstanceId& instance = row.m_holder.m_instance;
    if (instance != environment.m_self.m_instance && !row.m_granted.empty()) {
      entry.m_credit_peers.push_back(instance);
    }
  }
}

}  // namespace jasminelug::core
