#include "apps/jasminelugd/status_reader.h"

#include <chrono>
#include <utility>

namespace jasminelug::daemon {
namespace {

int64_t Milliseconds(core::Duration duration) {
  return duration / std::chrono::milliseconds(1);
}

operators::MemberStatus ReadMember(const core::MemberView& view,
                                   core::Time now) {
  operators::MemberStatus member;
  member.m_id = view.m_member.m_id.str();
  member.m_zone = view.m_member.m_zone.str();
  member.m_failed = view.m_failed;
  member.m_applied = view.m_applied_index;
  if (view.m_status) {
    const bool is_primary = view.m_status->m_role == core::MemberRole::kPrimary;
    member.m_role = is_primary ? "primary" : "replica";
    member.m_received = view.m_status->m_received.m_index;
    member.m_age_ms =
        Milliseconds(view.m_status->m_data_age + (now - view.m_status_asked));
  }
  return member;
}

operators::DatabaseStatus ReadDatabase(core::Engine& engine,
                                       const core::DatabaseName& name) {
  operators::DatabaseStatus database;
  database.m_name = name.str();
  database.m_connections_open = engine.Connections().OpenCount(name);
  database.m_connections_share =
      engine.Shares().ConnectionShare(name, engine.CurrentContext());
  const core::Group* group = engine.Groups().Find(name);
  if (group == nullptr) {
    return database;
  }
  const core::GroupView& view = group->view();
  database.m_term = view.term().value();
  database.m_primary =
      view.Primary() == nullptr ? "" : view.Primary()->m_id.str();
  database.m_usable = group->IsPrimaryUsable();
  for (const core::MemberView& member : view.members()) {
    database.m_members.push_back(
        ReadMember(member, engine.CurrentContext().Now()));
  }
  return database;
}

bool Matches(const std::string& wanted, const std::string& found) {
  return wanted.empty() || wanted == found;
}

bool Matches(const operators::TimelineQuery& query,
             const core::TimelineEvent& event) {
  return Matches(query.m_request, event.m_request_id.str()) &&
         Matches(query.m_customer, event.m_customer.str()) &&
         Matches(query.m_database, event.m_database.str()) &&
         Matches(query.m_zone, event.m_zone.str());
}

operators::TimelineEntry ToEntry(const core::MembershipOptions& self,
                                 const TimelineRecord& record) {
  const core::TimelineEvent& event = record.m_event;
  operators::TimelineEntry entry;
  entry.m_instance = self.m_id.str();
  entry.m_incarnation = self.m_incarnation.value();
  entry.m_sequence = event.m_sequence;
  entry.m_time_unix_us = std::chrono::duration_cast<std::chrono::microseconds>(
                             record.m_wall_time.time_since_epoch())
                             .count();
  entry.m_kind = core::ToString(event.m_kind);
  entry.m_request = event.m_request.value();
  entry.m_request_id = event.m_request_id.str();
  entry.m_customer = event.m_customer.str();
  entry.m_database = event.m_database.str();
  entry.m_zone = event.m_zone.str();
  entry.m_peer = event.m_peer.str();
  entry.m_term = event.m_term.value();
  entry.m_revision = event.m_revision.value();
  entry.m_detail = event.m_detail;
  return entry;
}

}  // namespace

operators::StatusReport ReadStatus(DecisionDuty& decision) {
  core::Engine& engine = decision.engine();
  const core::ControlPlane& control = engine.Control();
  const core::MembershipOptions& self = decision.options().m_membership;
  operators::StatusReport report;
  report.m_instance = self.m_id.str();
  report.m_zone = self.m_zone.str();
  report.m_incarnation = self.m_incarnation.value();
  report.m_ready = control.Service().IsReady();
  report.m_draining = control.Service().IsDraining();
  report.m_revision = control.Store().InstalledRevision().value();
  report.m_platform_reachable =
      control.Store().IsPlatformReachable(engine.CurrentContext());
  report.m_uses_shares = engine.Shares().MayUseShares(engine.CurrentContext());
  report.m_active_requests = engine.Requests().ActiveCount();
  report.m_open_transactions = engine.Requests().OpenTransactions();
  for (const core::PeerInfo& peer : control.Members().Peers()) {
    report.m_peers.push_back(
        {peer.m_id.str(), peer.m_zone.str(), peer.m_live, peer.m_draining});
  }
  const core::ConfigurationPtr& configuration = control.Store().Current();
  if (configuration != nullptr) {
    for (const auto& [name, database] : configuration->m_databases) {
      report.m_databases.push_back(ReadDatabase(engine, name));
    }
  }
  return report;
}

operators::TimelineEntries ReadTimeline(DecisionDuty& decision,
                                        const operators::TimelineQuery& query) {
  operators::TimelineEntries entries;
  for (const TimelineRecord& record : decision.timeline().records()) {
    if (Matches(query, record.m_event)) {
      entries.push_back(ToEntry(decision.options().m_membership, record));
    }
  }
  return entries;
}

operators::MetricsReport ReadMetrics(DecisionDuty& decision) {
  operators::MetricsReport report;
  report.m_instance = decision.options().m_membership.m_id.str();
  const operators::StatusReport status = ReadStatus(decision);
  const auto add = [&report](const std::string& name, double value,
                             const std::string& database = {}) {
    report.m_metrics.push_back({name, "", database, value});
  };
  add("ready", status.m_ready ? 1 : 0);
  add("configuration_revision", static_cast<double>(status.m_revision));
  add("platform_reachable", status.m_platform_reachable ? 1 : 0);
  add("uses_shares", status.m_uses_shares ? 1 : 0);
  add("active_requests", static_cast<double>(status.m_active_requests));
  add("open_transactions", static_cast<double>(status.m_open_transactions));
  add("platform_calls_total", static_cast<double>(decision.PlatformCalls()));
  for (const operators::DatabaseStatus& database : status.m_databases) {
    add("database_term", static_cast<double>(database.m_term), database.m_name);
    add("database_usable", database.m_usable ? 1 : 0, database.m_name);
    add("database_connections_open",
        static_cast<double>(database.m_connections_open), database.m_name);
    add("database_connections_share",
        static_cast<double>(database.m_connections_share), database.m_name);
  }
  return report;
}

}  // namespace jasminelug::daemon
