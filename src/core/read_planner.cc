#include "src/core/read_planner.h"

#include <algorithm>
#include <random>

namespace jasminelug::core {
namespace {

// Maximum time that a read waits for a replica to catch up. A read that would
// wait longer at every replica goes to the primary.
constexpr Duration kMaxCatchUpWait = 15ms;

// Maximum number of entries in the history of the log's growth, and minimum
// time between two entries.
constexpr size_t kMaxGrowthEntries = 256;
constexpr Duration kMinGrowthInterval = 1ms;

// A new observation that is lower than the smoothed lag is weighted by
// 1 / kLagSmoothingDivisor.
constexpr int kLagSmoothingDivisor = 8;

// Returns the age of the member's data at `time`: the age that the member
// reported, plus the time since it was asked.
Duration AgeAt(const MemberView& member, Time time) {
  return member.m_status->m_data_age + (time - member.m_status_asked);
}

}  // namespace

ReadPlan ReadPlanner::Plan(const GroupView& view,
                           const ReadRequirements& requirements,
                           Context& context) {
  if (requirements.m_must_be_current) {
    return ReadPlan{};
  }
  const DatabaseName& database = view.database().m_name;
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  const double min_work_fraction = uniform(context.Random());
  const MemberView* best = nullptr;
  Duration best_wait{};
  double best_cost = 0.0;
  for (const MemberView& member : view.members()) {
    const MemberId& id = member.m_member.m_id;
    if (view.Primary() != nullptr && view.Primary()->m_id == id) {
      continue;
    }
    const double fraction =
        m_hooks->m_work_fraction(member.m_member.m_zone, context);
    if (member.m_failed || fraction <= min_work_fraction) {
      continue;
    }
    if (requirements.m_max_age &&
        !IsRecentEnough(member, *requirements.m_max_age, context.Now())) {
      continue;
    }
    const auto wait =
        CatchUpTime(member, requirements.m_position.m_index, context.Now());
    if (!wait || *wait > kMaxCatchUpWait) {
      continue;
    }
    double cost = static_cast<double>(m_hooks->m_load(database, id));
    cost += m_hooks->m_has_connection(database, id) ? 0.0 : 4.0;
    cost += member.m_member.m_zone == m_own_zone ? 0.0 : 0.5;
    cost += static_cast<double>(wait->count()) /
            static_cast<double>(kMaxCatchUpWait.count());
    if (best == nullptr || cost < best_cost) {
      best = &member;
      best_wait = *wait;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return ReadPlan{};
  }
  return ReadPlan{best->m_member.m_id, best_wait};
}

// Positions of different terms are ordered by term. This is correct for the
// positions of acknowledged writes, because the log of every later term holds
// them.
bool ReadPlanner::AreMet(const ReadRequirements& requirements,
                         const MemberView& member,
                         const LogPosition& position,
                         Time sent,
                         Time now) {
  if (position < requirements.m_position) {
    return false;
  }
  if (!requirements.m_max_age) {
    return true;
  }
  // When the member read the data, it was at most as old as at `sent`. The age
  // at `now` includes the time since then.
  return member.m_status && member.m_status_asked <= sent &&
         AgeAt(member, sent) + (now - sent) <= *requirements.m_max_age;
}

void ReadPlanner::OnWritten(uint64_t index, Time now) {
  if (!m_growth.empty() &&
      (index <= m_growth.back().m_index ||
       now - m_growth.back().m_time < kMinGrowthInterval)) {
    return;
  }
  if (m_growth.size() >= kMaxGrowthEntries) {
    m_growth.erase(m_growth.begin(), m_growth.begin() + kMaxGrowthEntries / 2);
  }
  m_growth.push_back(Growth{index, now});
}

void ReadPlanner::OnApplied(const MemberId& member, uint64_t index, Time now) {
  // The age of the oldest growth that is not applied yet is a lower bound of
  // the lag, and the age of the youngest applied growth is an upper bound. The
  // lower bound is used, which is zero if all known growth is applied.
  const auto unapplied = std::find_if(
      m_growth.begin(), m_growth.end(),
      [index](const Growth& growth) { return growth.m_index > index; });
  Duration observed{};
  if (unapplied != m_growth.end()) {
    observed = now - unapplied->m_time;
  } else if (m_growth.empty()) {
    return;
  }
  Duration& lag = m_lag[member];
  if (observed > lag) {
    lag = observed;
  } else {
    lag += (observed - lag) / kLagSmoothingDivisor;
  }
}

std::optional<Duration> ReadPlanner::CatchUpTime(const MemberView& member,
                                                 uint64_t index,
                                                 Time now) const {
  if (index <= member.m_applied_index) {
    return Duration::zero();
  }
  const auto lag = m_lag.find(member.m_member.m_id);
  const std::optional<Time> written = TimeOf(index);
  if (lag == m_lag.end() || !written) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), *written + lag->second - now);
}

std::optional<Time> ReadPlanner::TimeOf(uint64_t index) const {
  const auto found = std::find_if(
      m_growth.begin(), m_growth.end(),
      [index](const Growth& growth) { return growth.m_index >= index; });
  if (found == m_growth.end()) {
    return std::nullopt;
  }
  return found->m_time;
}

bool ReadPlanner::IsRecentEnough(const MemberView& member,
                                 Duration max_age,
                                 Time now) {
  return member.m_status && AgeAt(member, now) <= max_age;
}

}  // namespace jasminelug::core
