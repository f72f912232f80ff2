#ifndef SRC_OPERATORS_TIMELINE_ENTRY_H_
#define SRC_OPERATORS_TIMELINE_ENTRY_H_

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug::operators {

// One event of an instance. Fields that do not apply are empty or zero. An
// entry never contains a key or the parameters of a statement.
struct TimelineEntry {
  bool operator==(const TimelineEntry&) const = default;

  std::string m_instance;
  std::uint64_t m_incarnation = 0;
  // Sequence number of the event within the incarnation.
  std::uint64_t m_sequence = 0;
  // Microseconds since the Unix epoch by the instance's own clock.
  std::int64_t m_time_unix_us = 0;
  // The kind of the event, e.g. "primary_promoted".
  std::string m_kind;
  // Number of the request on its instance.
  std::uint64_t m_request = 0;
  // The request id that the caller chose.
  std::string m_request_id;
  std::string m_customer;
  std::string m_database;
  std::string m_zone;
  std::string m_peer;
  std::uint64_t m_term = 0;
  std::uint64_t m_revision = 0;
  std::string m_detail;
};

using TimelineEntries = std::vector<TimelineEntry>;

nlohmann::json ToJson(const TimelineEntry& entry);

// Formats the answer to GET /v1/timeline, {"entries":[...]}.
nlohmann::json ToJson(const TimelineEntries& entries);
Result<TimelineEntries, FieldErrors> ParseTimelineEntries(
    std::string_view text);

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_TIMELINE_ENTRY_H_
