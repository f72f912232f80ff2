#include "src/operators/status_report.h"

#include "src/common/object_reader.h"

namespace jasminelug::operators {
namespace {

using Json = nlohmann::json;

Json PeerToJson(const PeerStatus& peer) {
  return {{"instance", peer.m_instance},
          {"zone", peer.m_zone},
          {"live", peer.m_live},
          {"draining", peer.m_draining}};
}

Json MemberToJson(const MemberStatus& member) {
  return {{"id", member.m_id},           {"zone", member.m_zone},
          {"role", member.m_role},       {"received", member.m_received},
          {"applied", member.m_applied}, {"age_ms", member.m_age_ms},
          {"failed", member.m_failed}};
}

Json DatabaseToJson(const DatabaseStatus& database) {
  Json members = Json::array();
  for (const MemberStatus& member : database.m_members) {
    members.push_back(MemberToJson(member));
  }
  return {{"name", database.m_name},
          {"term", database.m_term},
          {"primary", database.m_primary},
          {"usable", database.m_usable},
          {"connections_open", database.m_connections_open},
          {"connections_share", database.m_connections_share},
          {"members", members}};
}

void ReadPeer(ObjectReader& reader, PeerStatus* peer) {
  reader.Required("instance", &peer->m_instance);
  reader.Required("zone", &peer->m_zone);
  reader.Required("live", &peer->m_live);
  reader.Required("draining", &peer->m_draining);
}

void ReadMember(ObjectReader& reader, MemberStatus* member) {
  reader.Required("id", &member->m_id);
  reader.Required("zone", &member->m_zone);
  reader.Required("role", &member->m_role);
  reader.Required("received", &member->m_received);
  reader.Required("applied", &member->m_applied);
  reader.Required("age_ms", &member->m_age_ms);
  reader.Required("failed", &member->m_failed);
}

void ReadDatabase(ObjectReader& reader, DatabaseStatus* database) {
  reader.Required("name", &database->m_name);
  reader.Required("term", &database->m_term);
  reader.Required("primary", &database->m_primary);
  reader.Required("usable", &database->m_usable);
  reader.Required("connections_open", &database->m_connections_open);
  reader.Required("connections_share", &database->m_connections_share);
  reader.Objects<MemberStatus>("members", &database->m_members, ReadMember);
}

void ReadReport(ObjectReader& reader, StatusReport* report) {
  reader.Required("instance", &report->m_instance);
  reader.Required("zone", &report->m_zone);
  reader.Required("incarnation", &report->m_incarnation);
  reader.Required("ready", &report->m_ready);
  reader.Required("draining", &report->m_draining);
  reader.Required("revision", &report->m_revision);
  reader.Required("platform_reachable", &report->m_platform_reachable);
  reader.Required("uses_shares", &report->m_uses_shares);
  reader.Required("active_requests", &report->m_active_requests);
  reader.Required("open_transactions", &report->m_open_transactions);
  reader.Objects<PeerStatus>("peers", &report->m_peers, ReadPeer);
  reader.Objects<DatabaseStatus>("databases", &report->m_databases,
                                 ReadDatabase);
}

}  // namespace

Json ToJson(const StatusReport& report) {
  Json peers = Json::array();
  for (const PeerStatus& peer : report.m_peers) {
    peers.push_back(PeerToJson(peer));
  }
  Json databases = Json::array();
  for (const DatabaseStatus& database : report.m_databases) {
    databases.push_back(DatabaseToJson(database));
  }
  return {{"instance", report.m_instance},
          {"zone", report.m_zone},
          {"incarnation", report.m_incarnation},
          {"ready", report.m_ready},
          {"draining", report.m_draining},
          {"revision", report.m_revision},
          {"platform_reachable", report.m_platform_reachable},
          {"uses_shares", report.m_uses_shares},
          {"active_requests", report.m_active_requests},
          {"open_transactions", report.m_open_transactions},
          {"peers", peers},
          {"databases", databases}};
}

Result<StatusReport, FieldErrors> ParseStatusReport(std::string_view text) {
  return ReadDocument<StatusReport>(text, JsonComments::kRefused, ReadReport);
}

}  // namespace jasminelug::operators
