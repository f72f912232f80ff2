#include "src/gateway/locality/spill_control.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

constexpr int kAllPercent = 100;

}  // namespace

SpillChoice SpillControl::Choose(const SpillInput& input, Time now) {
  const SpillChoice stay =
      input.m_near_is_free ? SpillChoice::kNear : SpillChoice::kWait;
  const bool pays = Pays(input);
  if (input.m_near) {
    m_last_input = input;
    Step(pays, now);
  }
  if (MustLeave(input)) {
    m_left_for_lack += 1;
    return SpillChoice::kFar;
  }
  if (!pays || !input.m_has_turn || !TakeTurn()) {
    return stay;
  }
  m_left += 1;
  return SpillChoice::kFar;
}

void SpillControl::OnTick(Time now) {
  if (m_percent > 0 && now - m_paid >= kStepInterval) {
    Step(false, now);
  }
}

bool SpillControl::Pays(const SpillInput& input) {
  return input.m_near && input.m_far &&
         *input.m_near > input.m_objective / kObjectiveDivisor &&
         *input.m_far < *input.m_near - *input.m_near / kGainDivisor;
}

bool SpillControl::MustLeave(const SpillInput& input) {
  if (!input.m_far || input.m_near_is_free) {
    return false;
  }
  return !input.m_near ||
         (*input.m_near > input.m_time_left && *input.m_far < *input.m_near);
}

void SpillControl::Step(bool pays, Time now) {
  if (pays) {
    m_paid = now;
  }
  if (now - m_stepped < kStepInterval) {
    return;
  }
  m_stepped = now;
  const int change = pays ? kStepPercent : -kStepPercent;
  m_percent = std::clamp(m_percent + change, 0, kMaxPercent);
}

// Returns whether the turn to leave has come to this statement.
bool SpillControl::TakeTurn() {
  m_due_percent += m_percent;
  if (m_due_percent < kAllPercent) {
    return false;
  }
  m_due_percent -= kAllPercent;
  return true;
}

}  // namespace jasminelug::gateway
