#include "src/operators/timeline_entry.h"

#include "src/common/object_reader.h"

namespace jasminelug::operators {
namespace {

using Json = nlohmann::json;

void ReadEntry(ObjectReader& reader, TimelineEntry* entry) {
  reader.Required("instance", &entry->m_instance);
  reader.Required("incarnation", &entry->m_incarnation);
  reader.Required("sequence", &entry->m_sequence);
  reader.Required("time_unix_us", &entry->m_time_unix_us);
  reader.Required("kind", &entry->m_kind);
  reader.Required("request", &entry->m_request);
  reader.Required("request_id", &entry->m_request_id);
  reader.Required("customer", &entry->m_customer);
  reader.Required("database", &entry->m_database);
  reader.Required("zone", &entry->m_zone);
  reader.Required("peer", &entry->m_peer);
  reader.Required("term", &entry->m_term);
  reader.Required("revision", &entry->m_revision);
  reader.Required("detail", &entry->m_detail);
}

}  // namespace

Json ToJson(const TimelineEntry& entry) {
  return {{"instance", entry.m_instance},
          {"incarnation", entry.m_incarnation},
          {"sequence", entry.m_sequence},
          {"time_unix_us", entry.m_time_unix_us},
          {"kind", entry.m_kind},
          {"request", entry.m_request},
          {"request_id", entry.m_request_id},
          {"customer", entry.m_customer},
          {"database", entry.m_database},
          {"zone", entry.m_zone},
          {"peer", entry.m_peer},
          {"term", entry.m_term},
          {"revision", entry.m_revision},
          {"detail", entry.m_detail}};
}

Json ToJson(const TimelineEntries& entries) {
  Json list = Json::array();
  for (const TimelineEntry& entry : entries) {
    list.push_back(ToJson(entry));
  }
  return {{"entries", list}};
}

Result<TimelineEntries, FieldErrors> ParseTimelineEntries(
    std::string_view text) {
  return ReadDocument<TimelineEntries>(
      text, JsonComments::kRefused,
      [](ObjectReader& reader, TimelineEntries* entries) {
        reader.Objects<TimelineEntry>("entries", entries, ReadEntry);
      });
}

}  // namespace jasminelug::operators
