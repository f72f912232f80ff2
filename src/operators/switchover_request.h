#ifndef SRC_OPERATORS_SWITCHOVER_REQUEST_H_
#define SRC_OPERATORS_SWITCHOVER_REQUEST_H_

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

#include "src/common/field_error.h"
#include "src/common/result.h"

namespace jasminelug::operators {

// Requests that a database's primary hands its role over to another member.
struct SwitchoverRequest {
  bool operator==(const SwitchoverRequest&) const = default;

  std::string m_database;
  // The member that becomes the primary.
  std::string m_successor;
};

// The answer to a SwitchoverRequest: the switchover is complete or, if m_term
// is zero, has begun.
struct SwitchoverOutcome {
  bool operator==(const SwitchoverOutcome&) const = default;

  std::string m_database;
  std::string m_primary;
  // The successor's term.
  std::uint64_t m_term = 0;
};

nlohmann::json ToJson(const SwitchoverRequest& request);
Result<SwitchoverRequest, FieldErrors> ParseSwitchoverRequest(
    std::string_view text);

nlohmann::json ToJson(const SwitchoverOutcome& outcome);
Result<SwitchoverOutcome, FieldErrors> ParseSwitchoverOutcome(
    std::string_view text);

}  // namespace jasminelug::operators

#endif  // SRC_OPERATORS_SWITCHOVER_REQUEST_H_
