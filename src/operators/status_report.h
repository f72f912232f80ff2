#ifndef SRC_OPERATORS_STATUS_REPORT_H_
#define SRC_OPERATORS_STATUS_REPORT_H_

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug::operators {

// The state of another instance as this instance knows it.
struct PeerStatus {
  bool operator==(const PeerStatus&) const = default;

  std::string m_instance;
  std::string m_zone;
  bool m_live = false;
  bool m_draining = false;
};

// The state of a database's member as this instance knows it.
struct MemberStatus {
  bool operator==(const MemberStatus&) const = default;

  std::string m_id;
  std::string m_zone;
  std::string m_role;
  // Positions in the group's log.
  std::uint64_t m_received = 0;
  std::uint64_t m_applied = 0;
  // Upper bound of the age of the member's data in milliseconds; negative if
  // unknown.
  std::int64_t m_age_ms = -1;
  bool m_failed = false;
};

// The state of a database as this instance knows it.
struct DatabaseStatus {
  bool operator==(const DatabaseStatus&) const = default;

  std::string m_name;
  std::uint64_t m_term = 0;
  // Empty if no primary is known.
  std::string m_primary;
  // Whether this instance may send writes to the primary.
  bool m_usable = false;
  // Number of connections that this instance has open, and its share of the
  // limit, that is, the number that it may have open.
  std::uint64_t m_connections_open = 0;
  std::uint64_t m_connections_share = 0;
  std::vector<MemberStatus> m_members;
};

// The answer to GET /v1/status.
struct StatusReport {
  bool operator==(const StatusReport&) const = default;

  std::string m_instance;
  std::string m_zone;
  std::uint64_t m_incarnation = 0;
  bool m_ready = false;
  bool m_draining = false;
  // The revision of the configuration that is in force on this instance.
  std::uint64_t m_revision = 0;
  bool m_platform_reachable = false;
  // Whether the instance may use its shares of rates and connections.
  bool m_uses_shares = false;
  std::uint64_t m_active_requests = 0;
  std::uint64_t m_open_transactions = 0;
  std::vector<PeerStatus> m_peers;
  std::vector<DatabaseStatus> m_databases;
};

nlohmann::json ToJson(const StatusReport& report);
Result<StatusReport, FieldErrors> ParseStatusReport(std::string_view text);

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_STATUS_REPORT_H_
