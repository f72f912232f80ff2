#include "test/soak/sabotage.h"

#include <array>
#include <utility>

namespace jasminelug::soak {

std::optional<Sabotage> ParseSabotage(const std::string& name) {
  static constexpr std::array<std::pair<const char*, Sabotage>, 15> kNames = {{
      {"none", Sabotage::kNone},
      {"forget_sessions", Sabotage::kForgetSessions},
      {"claim_everything_held", Sabotage::kClaimEverythingHeld},
      {"mix_transactions", Sabotage::kMixTransactions},
      {"swap_customers", Sabotage::kSwapCustomers},
      {"leak_keys", Sabotage::kLeakKeys},
      {"hide_key_changes", Sabotage::kHideKeyChanges},
      {"ignore_shares", Sabotage::kIgnoreShares},
      {"hide_zone_changes", Sabotage::kHideZoneChanges},
      {"truncate_answers", Sabotage::kTruncateAnswers},
      {"claim_not_run", Sabotage::kClaimNotRun},
      {"run_again", Sabotage::kRunAgain},
      {"hide_database_changes", Sabotage::kHideDatabaseChanges},
      {"kill_on_stop", Sabotage::kKillOnStop},
      {"hide_all_changes", Sabotage::kHideAllChanges},
  }};
  for (const auto& [known, sabotage] : kNames) {
    if (name == known) {
      return sabotage;
    }
  }
  return std::nullopt;
}

}  // namespace jasminelug::soak
