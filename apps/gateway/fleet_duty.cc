#include "apps/gateway/fleet_duty.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "apps/gateway/clock.h"
#include "platform/endpoint.h"

namespace jasminelug::gateway_app {
namespace {

using gateway::StoreKind;
using gateway::operator""ms;
using gateway::operator""s;

// Pause between two reports to the same peer.
constexpr gateway::Duration kReportInterval = 200ms;

gateway::InstanceEntry MakeEntry(const Settings& settings,
                                 gateway::Incarnation incarnation) {
  gateway::InstanceEntry entry;
  entry.m_id = gateway::InstanceId(settings.m_instance);
  entry.m_incarnation = incarnation;
  entry.m_zone = gateway::ZoneName(settings.m_zone);
  entry.m_peer_address = gateway::Address(settings.m_peer_address + ":" +
                                          std::to_string(settings.m_peer_port));
  const Processors& processors = settings.m_processors;
  entry.m_processors =
      processors.m_share * static_cast<double>(processors.m_cores);
  return entry;
}

}  // namespace

FleetDuty::FleetDuty(asio::io_context& io,
                     const Settings& settings,
                     gateway::Incarnation incarnation,
                     gateway::Engine& engine)
    : m_logger(log4cplus::Logger::getInstance("fleet")),
      m_engine(engine),
      m_entry(MakeEntry(settings, incarnation)),
      m_registrar_client(io, *adapter::ParseEndpoint(settings.m_store)),
      m_record_client(io, *adapter::ParseEndpoint(settings.m_store)),
      m_removal_client(io, *adapter::ParseEndpoint(settings.m_store)),
      m_promotion_client(io, *adapter::ParseEndpoint(settings.m_promotion)),
      m_registrar(m_entry, MakeRegistrarHooks()),
      m_peers(m_entry, settings.m_regions),
      m_coordinator(gateway::ReplacementOptions{m_entry.m_id},
                    MakeCoordinatorHooks()),
      m_datagrams(io,
                  *adapter::ParseDatagramEndpoint(m_entry.m_peer_address.str()),
                  [this](std::string_view bytes) { OnDatagram(bytes); }) {
  m_engine.primary_contact().CountFrom(std::nullopt);
}

gateway::InstanceRegistrar::Hooks FleetDuty::MakeRegistrarHooks() {
  gateway::InstanceRegistrar::Hooks hooks;
  hooks.m_write = [this](const std::string& name,
                         const gateway::InstanceEntry& entry,
                         std::optional<gateway::Revision> expected) {
    m_registrar_client.Write(StoreKind::kInstances, name, entry, expected,
                             [this](const auto& result) {
                               if (!IsOk(result)) {
                                 Log(m_logger, log4cplus::WARN_LOG_LEVEL,
                                     "could not register",
                                     {{"reason", GetError(result).m_message}});
                               }
                               m_registrar.OnWritten(result, Now());
                               UpdateRegistration(Now());
                             });
  };
  hooks.m_delete = [this](const std::string& name) {
    m_registrar_client.Delete(StoreKind::kInstances, name, std::nullopt,
                              [this](const auto& result) {
                                Log(m_logger, log4cplus::INFO_LOG_LEVEL,
                                    "deregistered", {{"done", IsOk(result)}});
                              });
  };
  hooks.m_abandon = [this] { m_registrar_client.Abandon(); };
  return hooks;
}

gateway::ReplacementCoordinator::Hooks FleetDuty::MakeCoordinatorHooks() {
  gateway::ReplacementCoordinator::Hooks hooks;
  hooks.m_write = [this](const gateway::ReplacementRecord& record,
                         std::optional<gateway::Revision> expected) {
    m_record_client.Write(StoreKind::kReplacements,
                          gateway::ReplacementCoordinator::kRecordName, record,
                          expected, [this](const auto& result) {
                            const gateway::Time now = Now();
                            m_coordinator.OnWritten(result, now);
                            UpdatePrimaries(now);
                            if (IsOk(result)) {
                              m_hooks.m_record_written(GetValue(result));
                            }
                          });
  };
  hooks.m_promote = [this](const gateway::PromotionOrder& order) {
    m_promotion_client.Promote(order, [this](gateway::PromotionResult result) {
      Log(m_logger, log4cplus::INFO_LOG_LEVEL, "promotion answered",
          {{"result", static_cast<std::int64_t>(result)}});
      m_coordinator.OnPromoted(result, Now());
    });
  };
  hooks.m_abandon_write = [this] { m_record_client.Abandon(); };
  hooks.m_abandon_promotion = [this] { m_promotion_client.Abandon(); };
  hooks.m_read_instances = [this] { m_hooks.m_read_instances(); };
  hooks.m_request_status = [this](const gateway::MemberId& member) {
    m_engine.RequestStatus(member, Now());
  };
  hooks.m_report = [this](const std::string& event,
                          const gateway::ReplacementIntent& intent) {
    LogReplacement(event, intent);
  };
  return hooks;
}

// Returns the instances that have not acknowledged the replacement record.
std::string FleetDuty::Unacknowledged(gateway::Time now) const {
  std::string missing;
  for (const gateway::InstanceId& id :
       m_peers.Unacknowledged(m_coordinator.revision(), now)) {
    missing += (missing.empty() ? "" : " ") + id.str();
  }
  return missing;
}

// Logs a step of a replacement, with the list of instances it relies on and
// those that have not acknowledged the record.
void FleetDuty::LogReplacement(const std::string& event,
                               const gateway::ReplacementIntent& intent) {
  const gateway::Time now = Now();
  LogFields fields = {
      {"group", intent.m_group.str()},
      {"old_primary", intent.m_old_primary.str()},
      {"candidate", intent.m_candidate.str()},
      {"planned", intent.m_planned},
      {"revision", ToLogField(m_coordinator.revision())},
      {"instances", static_cast<std::int64_t>(m_entries.size())},
      {"unacknowledged", Unacknowledged(now)}};
  if (m_instances_as_of) {
    fields.push_back({"list_age_ms", ToMilliseconds(now - *m_instances_as_of)});
  }
  Log(m_logger, log4cplus::INFO_LOG_LEVEL, event, fields);
}

// Logs a replacement that takes much longer than it should, with what it waits
// for.
void FleetDuty::WatchReplacement(gateway::Time now) {
  m_replacement_watch.Update(m_coordinator.record(), now);
  if (!m_replacement_watch.TakeNotice(now)) {
    return;
  }
  const gateway::ReplacementRecord& record = m_coordinator.record();
  Log(m_logger, log4cplus::WARN_LOG_LEVEL, "a replacement does not end",
      {{"group", record.m_intent->m_group.str()},
       {"old_primary", record.m_intent->m_old_primary.str()},
       {"age_ms", ToMilliseconds(*m_replacement_watch.Age(now))},
       {"coordinator", record.m_coordinator.str()},
       {"coordinator_unresponsive",
        m_peers.IsUnresponsive(record.m_coordinator, now)},
       {"revision", ToLogField(m_coordinator.revision())},
       {"waits_for", std::string(m_coordinator.awaited())},
       {"unacknowledged", Unacknowledged(now)}});
}

void FleetDuty::OnInstances(const gateway::StoreObjects& objects,
                            gateway::Revision complete,
                            gateway::Time now) {
  m_objects = objects;
  m_entries.clear();
  for (const auto& [name, object] : objects) {
    if (const auto* entry =
            std::get_if<gateway::InstanceEntry>(&object.m_value)) {
      m_entries.push_back(*entry);
      m_entries.back().m_revision = object.m_revision;
    }
  }
  m_peers.SetInstances(m_entries, now);
  std::vector<gateway::InstanceEntry> holders = m_entries;
  std::erase_if(holders, [](const gateway::InstanceEntry& entry) {
    return entry.m_leaving;
  });
  m_engine.SetInstances(holders, now);
  m_engine.limiter().SetInstanceCount(m_peers.instance_count());
  m_registrar.OnEntries(objects, complete, now);
  UpdateRegistration(now);
  UpdateHolders(now);
}

// Lets the primaries be used only on the strength of contacts since this
// instance was registered. See InstanceRegistrar.
void FleetDuty::UpdateRegistration(gateway::Time now) {
  const bool same_epoch = m_registrar.epoch() == m_coordinator.epoch();
  const std::optional<gateway::Time> since =
      same_epoch ? m_registrar.registered_since() : std::nullopt;
  if (since == m_registered_since) {
    return;
  }
  Log(m_logger, log4cplus::INFO_LOG_LEVEL,
      since ? "registered" : "not registered");
  m_registered_since = since;
  m_engine.primary_contact().CountFrom(since);
  UpdatePrimaries(now);
  if (since) {
    m_hooks.m_read_record();
  }
}

void FleetDuty::OnReplacements(const gateway::StoreObjects& objects,
                               gateway::Revision complete,
                               gateway::Time now) {
  const gateway::StoreEpoch before = m_coordinator.epoch();
  m_coordinator.OnEntries(objects, complete, now);
  m_has_known_primaries |= m_coordinator.is_record_valid();
  if (m_coordinator.epoch() != before) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "the store began a new epoch",
        {{"epoch", static_cast<std::int64_t>(m_coordinator.epoch().value())},
         {"before", static_cast<std::int64_t>(before.value())},
         {"record_valid", m_coordinator.is_record_valid()}});
  }
  UpdateRegistration(now);
  UpdatePrimaries(now);
  if (AcknowledgedRevision() != m_reported_revision) {
    SendReports(now);
  }
}

void FleetDuty::OnStatus(const gateway::MemberId& member,
                         const gateway::MemberStatus& status,
                         gateway::Time requested) {
  m_coordinator.OnStatus(member, status, requested);
}

void FleetDuty::UpdatePrimaries(gateway::Time now) {
  const gateway::Configuration* configuration = m_engine.configuration();
  if (!configuration) {
    return;
  }
  m_peer_record.Update(m_coordinator.revision(), now);
  const bool unread = m_peer_record.unread().has_value();
  for (const auto& [group, limits] : configuration->m_groups) {
    const gateway::PrimaryDecision decision = gateway::DecidePrimary(
        group, m_coordinator, m_engine.members().SelfDeclaredPrimary(group),
        m_engine.PrimaryOf(group), unread, now);
    m_engine.SetPrimary(group, decision.m_view, decision.m_abandon, now);
  }
}

gateway::Revision FleetDuty::AcknowledgedRevision() const {
  if (const auto unread = m_peer_record.unread()) {
    return AreAllPrimariesUnused() ? *unread : gateway::Revision();
  }
  const auto& intent = m_coordinator.record().m_intent;
  if (intent && !m_engine.IsPrimaryIdle(intent->m_group)) {
    return gateway::Revision();
  }
  return m_coordinator.revision();
}

bool FleetDuty::AreAllPrimariesUnused() const {
  const gateway::Configuration* configuration = m_engine.configuration();
  return configuration &&
         std::all_of(configuration->m_groups.begin(),
                     configuration->m_groups.end(), [this](const auto& group) {
                       return !m_engine.IsPrimaryUsable(group.first) &&
                              m_engine.IsPrimaryIdle(group.first);
                     });
}

gateway::FollowerCandidate FleetDuty::Candidate(gateway::Time now) const {
  gateway::FollowerCandidate self;
  self.m_rank = m_peers.FollowerRank(now);
  self.m_live_count = m_peers.CountLive(now) > 0 ? m_peers.cell_size() : 1;
  const auto keys = m_engine.key_contact().Age(now);
  const auto primaries = m_engine.primary_contact().Age(now);
  if (keys && primaries) {
    self.m_contact_age = std::max(*keys, *primaries);
  }
  return self;
}

void FleetDuty::UpdateHolders(gateway::Time now) {
  m_holders.clear();
  const gateway::Configuration* configuration = m_engine.configuration();
  if (!configuration) {
    return;
  }
  for (const auto& [customer, limits] : configuration->m_customers) {
    m_holders.emplace(customer, m_engine.holders().HoldersFor(customer));
  }
  UpdateShares(now);
}

void FleetDuty::UpdateShares(gateway::Time now) {
  const gateway::Configuration* configuration = m_engine.configuration();
  if (!configuration) {
    return;
  }
  const auto shares =
      m_peers.Shares(m_engine.limiter().Demand(now), m_holders, now);
  for (const auto& [customer, share] : shares) {
    m_engine.limiter().SetShare(customer, share, now);
  }
}

void FleetDuty::RemoveUnresponsivePeers(gateway::Time now) {
  if (m_removal_client.is_calling() || m_peers.Rank(now) != 0) {
    return;
  }
  for (const gateway::InstanceId& unresponsive : m_peers.ExpiredPeers(now)) {
    const std::string name = gateway::InstanceRegistrar::NameOf(unresponsive);
    const auto object = m_objects.find(name);
    if (object == m_objects.end()) {
      continue;
    }
    Log(m_logger, log4cplus::INFO_LOG_LEVEL,
        "removing an unresponsive instance", {{"peer", unresponsive.str()}});
    m_removal_client.Delete(StoreKind::kInstances, name,
                            object->second.m_revision, [](const auto&) {});
    m_objects.erase(object);
    return;
  }
}

gateway::GroupCondition FleetDuty::ConditionOf(
    const gateway::GroupName& group,
    const gateway::GroupLimits& limits,
    gateway::Time now) const {
  gateway::GroupCondition condition;
  condition.m_group = group;
  condition.m_primary = m_engine.PrimaryOf(group);
  condition.m_sync_replicas = limits.m_sync_replicas;
  if (const auto sample = m_engine.NewestSample(group)) {
    condition.m_newest_term = sample->m_position.m_term;
  }
  condition.m_failing_since = m_engine.PrimaryFailingSince(group, now);
  condition.m_not_observed =
      !condition.m_failing_since && !m_engine.IsPrimaryResponsive(group, now);
  condition.m_no_statements_in_flight = m_engine.IsPrimaryIdle(group);
  const gateway::PeerView::ReachabilityCounts opinions =
      m_peers.CountReachability(group, now);
  condition.m_others_unreachable = opinions.m_unreachable;
  condition.m_others_reachable = opinions.m_reachable;
  gateway::DescribeMembers(m_engine.members(), &condition);
  return condition;
}

std::vector<gateway::GroupCondition> FleetDuty::GroupConditions(
    gateway::Time now) const {
  std::vector<gateway::GroupCondition> conditions;
  const gateway::Configuration* configuration = m_engine.configuration();
  if (!configuration) {
    return conditions;
  }
  for (const auto& [group, limits] : configuration->m_groups) {
    conditions.push_back(ConditionOf(group, limits, now));
  }
  return conditions;
}

void FleetDuty::OnTick(gateway::Time now) {
  m_registrar.OnTick(now);
  UpdateRegistration(now);
  UpdatePrimaries(now);
  gateway::FleetCondition fleet;
  fleet.m_all_acknowledged =
      m_peers.AllAcknowledged(m_coordinator.revision(), now);
  fleet.m_instances_as_of = m_instances_as_of.value_or(gateway::Time());
  fleet.m_rank = m_peers.Rank(now);
  fleet.m_contact_recent =
      m_registrar.is_registered() &&
      m_engine.primary_contact().IsFresh(
          now, gateway::ReplacementCoordinator::kActingContactLimit);
  fleet.m_coordinator_live =
      !m_peers.IsUnresponsive(m_coordinator.record().m_coordinator, now);
  fleet.m_has_unread_record = m_peer_record.unread().has_value();
  m_coordinator.OnTick(GroupConditions(now), fleet, now);
  WatchReplacement(now);
  const bool coordinator_unresponsive =
      m_coordinator.record().m_intent && !fleet.m_coordinator_live &&
      m_coordinator.record().m_coordinator != m_entry.m_id;
  if (coordinator_unresponsive) {
    m_registrar.Acknowledge(AcknowledgedRevision(), now);
  }
  const bool acknowledges = AcknowledgedRevision() != m_reported_revision;
  if (acknowledges || now - m_last_report >= kReportInterval) {
    SendReports(now);
    UpdateShares(now);
    RemoveUnresponsivePeers(now);
  }
  SendQueued();
}

void FleetDuty::BeginShutdown(gateway::Time now) {
  m_stopping = true;
  m_coordinator.Stop();
  m_registrar.AnnounceStop(now);
}

void FleetDuty::Deregister(gateway::Time now) {
  m_registrar.Stop(now);
  UpdateRegistration(now);
}

}  // namespace jasminelug::gateway_app
