#include "src/operators/switchover_request.h"

#include "src/common/object_reader.h"

namespace jasminelug::operators {

nlohmann::json ToJson(const SwitchoverRequest& request) {
  return {{"database", request.m_database}, {"successor", request.m_successor}};
}

Result<SwitchoverRequest, FieldErrors> ParseSwitchoverRequest(
    std::string_view text) {
  return ReadDocument<SwitchoverRequest>(
      text, JsonComments::kRefused,
      [](ObjectReader& reader, SwitchoverRequest* request) {
        reader.Required("database", &request->m_database);
        reader.Required("successor", &request->m_successor);
      });
}

nlohmann::json ToJson(const SwitchoverOutcome& outcome) {
  return {{"database", outcome.m_database},
          {"primary", outcome.m_primary},
          {"term", outcome.m_term}};
}

Result<SwitchoverOutcome, FieldErrors> ParseSwitchoverOutcome(
    std::string_view text) {
  return ReadDocument<SwitchoverOutcome>(
      text, JsonComments::kRefused,
      [](ObjectReader& reader, SwitchoverOutcome* outcome) {
        reader.Required("database", &outcome->m_database);
        reader.Required("primary", &outcome->m_primary);
        reader.Required("term", &outcome->m_term);
      });
}

}  // namespace jasminelug::operators
