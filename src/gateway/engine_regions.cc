// Part of Engine that decides about regions: where an operation runs, and
// whether a statement leaves this region.

#include <algorithm>
#include <iterator>

#include "src/gateway/engine.h"

namespace jasminelug::gateway {

// Returns the region in which the session's operation should run: that of the
// primary if only the primary can run it, so that it crosses to another region
// once; otherwise the own one, or if no member there accepts work, one where a
// member does.
RegionName Engine::RegionFor(const Session& session) const {
  const Regions& regions = m_options.m_regions;
  if (!regions.are_several()) {
    return {};
  }
  const bool needs_primary = NeedsPrimaryByKind(session);
  const GroupName& group = session.m_route.m_group;
  const std::optional<MemberId> primary = PrimaryOf(group);
  RegionName region = regions.RegionOf(m_options.m_zone);
  bool found = false;
  for (const MemberState* state : m_members.MembersOf(group)) {
    const Member& member = state->m_member;
    const bool is_target =
        needs_primary ? member.m_id == primary : m_members.AcceptsWork(member);
    if (is_target && (!found || IsNear(member))) {
      found = true;
      region = regions.RegionOf(member.m_zone);
    }
  }
  return region;
}

bool Engine::IsNear(const Member& member) const {
  return m_options.m_regions.AreTogether(member.m_zone, m_options.m_zone);
}

std::optional<PlacementOption> Engine::ChooseOption(Session* session,
                                                    Time now) {
  const std::vector<PlacementOption> options = OptionsFor(session, now);
  const bool has_choice =
      m_options.m_regions.are_several() && !session->m_active->m_needs_primary;
  return has_choice ? ChooseRegion(session, options, now)
                    : ChoosePlacement(options);
}

// Chooses between the best member of the own region and the best one elsewhere.
// Returns nullopt if the statement waits.
std::optional<PlacementOption> Engine::ChooseRegion(
    Session* session,
    const std::vector<PlacementOption>& options,
    Time now) {
  const auto best_where = [&options](bool same_region) {
    std::vector<PlacementOption> part;
    std::copy_if(options.begin(), options.end(), std::back_inserter(part),
                 [same_region](const PlacementOption& option) {
                   return option.m_same_region == same_region;
                 });
    return ChoosePlacement(part);
  };
  std::optional<PlacementOption> near = best_where(true);
  std::optional<PlacementOption> far = best_where(false);
  ActiveStatement& active = *session->m_active;
  SpillInput input;
  input.m_near = NearTimeOf(*session, near, now);
  input.m_near_is_free = near.has_value();
  if (far) {
    input.m_far = ExpectedTime(*far);
  }
  input.m_objective = session->m_route.m_objective;
  input.m_time_left = active.m_objective_at - now;
  input.m_has_turn =
      now - active.m_region_chosen >= SpillControl::kStepInterval;
  if (input.m_has_turn) {
    active.m_region_chosen = now;
  }
  SpillControl& spill = GroupOf(session->m_route.m_group).m_spill;
  const int percent_before = spill.percent();
  const SpillChoice choice = spill.Choose(input, now);
  ReportSpill(session->m_route.m_group, spill, percent_before);
  switch (choice) {
    case SpillChoice::kNear:
      return near;
    case SpillChoice::kFar:
      return far;
    case SpillChoice::kWait:
      return std::nullopt;
  }
  return std::nullopt;
}

// Reports that the part of the statements that may leave the region has become
// positive, or zero.
void Engine::ReportSpill(const GroupName& group,
                         const SpillControl& spill,
                         int percent_before) const {
  const bool begins = spill.percent() > 0;
  if (begins != (percent_before > 0)) {
    m_hooks.m_spill_changed(group, spill.last_input(), begins);
  }
}

// Returns when the own region is expected to answer; nullopt if no member there
// can serve the statement. `near` is the best member there that is free.
std::optional<Duration> Engine::NearTimeOf(
    const Session& session,
    const std::optional<PlacementOption>& near,
    Time now) const {
  if (near) {
    return ExpectedTime(*near);
  }
  const QueueLoad load = QueueLoadFor(session, QueuedStatementOf(session),
                                      LoadScope::kOwnRegion, now);
  return load.m_connections > 0 ? std::optional(ExpectedAnswerTime(load))
                                : std::nullopt;
}

const SpillControl* Engine::SpillOf(const GroupName& name) const {
  const Group* group = FindGroup(name);
  return group ? &group->m_spill : nullptr;
}

}  // namespace jasminelug::gateway
