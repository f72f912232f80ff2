#include "src/gateway/member_table.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Delay after the first failure to connect; it doubles with each further one.
constexpr Duration kFirstRetryDelay = 50ms;
constexpr int kMaxDelayDoublings = 4;
// Pause after a refusal for lack of capacity, about the time in which a few
// slots become free.
constexpr Duration kBusyPause = 30ms;
// Time for which an observed lag is assumed to persist.
constexpr Duration kLagValidity = 1500ms;
// Turnaround down to which an unconfirmed estimate is halved.
constexpr Duration kUsualTurnaround = 25ms;
// Divisor of the weight that a new answer has in the smoothed turnaround.
constexpr int kSmoothingDivisor = 8;

}  // namespace

Duration MemberState::ExpectedTurnaround(Time now) const {
  Duration expected = m_turnaround;
  Time since = m_measured + kTurnaroundHalfLife;
  while (since <= now && expected > kUsualTurnaround) {
    expected = std::max<Duration>(expected / 2, kUsualTurnaround);
    since += kTurnaroundHalfLife;
  }
  return expected;
}

std::vector<MemberId> MemberTable::SetMembers(
    const std::vector<Member>& members) {
  std::map<MemberId, MemberState> table;
  std::vector<MemberId> gone;
  for (const Member& member : members) {
    MemberState state;
    const auto known = m_members.find(member.m_id);
    const bool same =
        known != m_members.end() &&
        known->second.m_member.m_address == member.m_address &&
        known->second.m_member.m_started_at_ms == member.m_started_at_ms;
    if (same) {
      state = known->second;
    } else if (known != m_members.end()) {
      gone.push_back(member.m_id);
    }
    state.m_member = member;
    table.emplace(member.m_id, std::move(state));
  }
  for (const auto& [id, state] : m_members) {
    if (!table.contains(id)) {
      gone.push_back(id);
    }
  }
  m_members = std::move(table);
  return gone;
}

MemberState* MemberTable::Find(const MemberId& id) {
  const auto found = m_members.find(id);
  return found == m_members.end() ? nullptr : &found->second;
}

const MemberState* MemberTable::Find(const MemberId& id) const {
  const auto found = m_members.find(id);
  return found == m_members.end() ? nullptr : &found->second;
}

std::vector<MemberState*> MemberTable::MembersOf(const GroupName& group) {
  std::vector<MemberState*> members;
  for (auto& [id, state] : m_members) {
    if (state.m_member.m_group == group) {
      members.push_back(&state);
    }
  }
  return members;
}

std::vector<const MemberState*> MemberTable::MembersOf(
    const GroupName& group) const {
  std::vector<const MemberState*> members;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_group == group) {
      members.push_back(&state);
    }
  }
  return members;
}

bool MemberTable::AcceptsWork(const Member& member) const {
  return !member.m_draining && !m_evacuated.contains(member.m_zone);
}

std::optional<MemberId> MemberTable::SelfDeclaredPrimary(
    const GroupName& group) const {
  std::optional<MemberId> primary;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_group != group ||
        state.m_member.m_role != MemberRole::kPrimary) {
      continue;
    }
    if (primary) {
      return std::nullopt;
    }
    primary = id;
  }
  return primary;
}

void MemberTable::NoteFailure(const MemberId& id, Time now) {
  MemberState* state = Find(id);
  if (!state) {
    return;
  }
  const int doublings = std::min(state->m_failures, kMaxDelayDoublings);
  state->m_failures += 1;
  state->m_no_connecting_until = now + kFirstRetryDelay * (1 << doublings);
}

void MemberTable::NoteBusy(const MemberId& id, Time now) {
  MemberState* state = Find(id);
  if (state) {
    state->m_unavailable_until =
        std::max(state->m_unavailable_until, now + kBusyPause);
  }
}

void MemberTable::NoteLagging(const MemberId& id, Duration age, Time now) {
  MemberState* state = Find(id);
  if (!state) {
    return;
  }
  const bool still_valid = now - state->m_lag_seen < kLagValidity;
  state->m_lag = still_valid ? std::max(state->m_lag, age) : age;
  state->m_lag_seen = now;
}

void MemberTable::NoteGivenUp(const MemberId& id, Time now) {
  MemberState* state = Find(id);
  if (state) {
    state->m_measured = now;
  }
}

void MemberTable::NoteAnswer(const MemberId& id,
                             Duration turnaround,
                             Time now) {
  MemberState* state = Find(id);
  if (!state) {
    return;
  }
  state->m_failures = 0;
  const bool known = state->m_turnaround != Duration::zero() &&
                     now - state->m_measured < MemberState::kTurnaroundHalfLife;
  state->m_measured = now;
  if (!known) {
    state->m_turnaround = turnaround;
    return;
  }
  state->m_turnaround += (turnaround - state->m_turnaround) / kSmoothingDivisor;
}

bool MemberTable::LikelyLacksPosition(const MemberState& state,
                                      Duration age,
                                      Time now) const {
  return now - state.m_lag_seen < kLagValidity && age <= state.m_lag;
}

}  // namespace jasminelug::gateway
