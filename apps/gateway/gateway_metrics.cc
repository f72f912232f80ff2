// Part of GatewayProcess that writes its metrics.

#include <chrono>
#include <cstdint>
#include <string>

#include "apps/gateway/clock.h"
#include "apps/gateway/gateway_process.h"

namespace jasminelug::gateway_app {

// Returns the metrics of the decisions about regions; empty if there is only
// one.
std::string GatewayProcess::RegionMetrics() const {
  const gateway::Configuration* configuration = m_engine.configuration();
  if (!configuration || !m_engine.options().m_regions.are_several()) {
    return {};
  }
  std::string text;
  const auto add = [&text](const std::string& name, const std::string& labels,
                           std::uint64_t value) {
    text += name + "{" + labels + "} " + std::to_string(value) + "\n";
  };
  for (const auto& [group, limits] : configuration->m_groups) {
    const gateway::SpillControl* spill = m_engine.SpillOf(group);
    if (!spill) {
      continue;
    }
    const std::string label = "group=\"" + group.str() + "\"";
    add("jasminelug_region_spill_percent", label,
        static_cast<std::uint64_t>(spill->percent()));
    add("jasminelug_statements_left_region_total", label + ",reason=\"load\"",
        spill->left());
    add("jasminelug_statements_left_region_total", label + ",reason=\"lack\"",
        spill->left_for_lack());
  }
  return text;
}

std::string GatewayProcess::Metrics() const {
  std::string text;
  text += "jasminelug_statements_completed_total " +
          std::to_string(m_completed) + "\n";
  text +=
      "jasminelug_statements_refused_total " + std::to_string(m_refused) + "\n";
  text += "jasminelug_unexpected_answers_total " +
          std::to_string(m_unexpected_answers) + "\n";
  for (const StateDuty::CallCount& count : m_state.CallCounts()) {
    text += "jasminelug_store_calls_total{kind=\"";
    text += NameOf(count.m_kind);
    text += "\"} " + std::to_string(count.m_calls) + "\n";
  }
  text +=
      "jasminelug_sessions " + std::to_string(m_engine.session_count()) + "\n";
  text += "jasminelug_member_connections " +
          std::to_string(m_engine.connection_count()) + "\n";
  text += "jasminelug_forwards_sent_total " +
          std::to_string(m_forwarding.sent()) + "\n";
  text += "jasminelug_forwards_received_total " +
          std::to_string(m_forwarding.received()) + "\n";
  const gateway::ReplacementWatch& replacement = m_fleet.replacement_watch();
  const gateway::Time now = Now();
  const std::chrono::duration<double> age =
      replacement.Age(now).value_or(gateway::Duration::zero());
  text += "jasminelug_replacement_age_seconds " + std::to_string(age.count()) +
          "\n";
  text += "jasminelug_replacement_overdue ";
  text += replacement.IsOverdue(now) ? "1\n" : "0\n";
  text += RegionMetrics();
  return text;
}

}  // namespace jasminelug::gateway_app
