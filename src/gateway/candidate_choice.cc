#include "src/gateway/candidate_choice.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Time after which candidates that did not report their position are no
// longer waited for.
constexpr Duration kStatusTimeout = 250ms;
// Maximum time that a planned replacement waits for a candidate to receive
// everything that the old primary has committed.
constexpr Duration kCatchUpLimit = 600ms;

using Members = std::vector<MemberId>;

bool Contains(const Members& members, const MemberId& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

std::optional<LogPosition> PositionOf(const CandidateInputs& inputs,
                                      const MemberId& member) {
  const auto status = inputs.m_statuses.find(member);
  if (status == inputs.m_statuses.end()) {
    return std::nullopt;
  }
  return status->second.m_received;
}

// Returns the replicas that may have to be promoted. Candidates come first, so
// that they are preferred to leaving replicas at the same position.
Members Electable(const GroupCondition& group) {
  Members electable = group.m_candidates;
  if (group.m_sync_replicas > 0) {
    electable.insert(electable.end(), group.m_leaving_replicas.begin(),
                     group.m_leaving_replicas.end());
  }
  return electable;
}

bool HaveAllAnswered(const CandidateInputs& inputs, const Members& members) {
  return std::all_of(members.begin(), members.end(),
                     [&inputs](const MemberId& member) {
                       return inputs.m_statuses.contains(member);
                     });
}

// Returns the member with the most advanced position. A member that did not
// answer is returned only if no member did.
std::optional<MemberId> MostAdvanced(const CandidateInputs& inputs,
                                     const Members& members) {
  std::optional<MemberId> best;
  std::optional<LogPosition> best_position;
  for (const MemberId& member : members) {
    const std::optional<LogPosition> position = PositionOf(inputs, member);
    if (!best || (position && (!best_position || *position > *best_position))) {
      best = member;
      best_position = position;
    }
  }
  return best;
}

// Returns the candidates that have received all that the old primary has.
Members CaughtUp(const CandidateInputs& inputs, const LogPosition& end) {
  Members caught_up;
  for (const MemberId& candidate : inputs.m_group.m_candidates) {
    const std::optional<LogPosition> position = PositionOf(inputs, candidate);
    if (position && *position >= end) {
      caught_up.push_back(candidate);
    }
  }
  return caught_up;
}

// Returns the members whose log is as long as the longest one.
Members WithLongestLog(const CandidateInputs& inputs, const Members& members) {
  const std::optional<MemberId> longest = MostAdvanced(inputs, members);
  Members result;
  for (const MemberId& member : members) {
    if (PositionOf(inputs, member) == PositionOf(inputs, *longest)) {
      result.push_back(member);
    }
  }
  return result;
}

CandidateChoice ChooseFrom(const CandidateInputs& inputs, Members members) {
  std::erase_if(members, [&inputs](const MemberId& member) {
    return Contains(inputs.m_refused, member);
  });
  const std::optional<MemberId> best = MostAdvanced(inputs, members);
  if (!best) {
    return AllRefused{};
  }
  return *best;
}

CandidateChoice ChooseSynchronous(const CandidateInputs& inputs) {
  const Members electable = Electable(inputs.m_group);
  if (electable.empty() || !HaveAllAnswered(inputs, electable)) {
    return StatusesMissing{};
  }
  if (!inputs.m_old_primary) {
    return ChooseFrom(inputs, WithLongestLog(inputs, electable));
  }
  const std::optional<LogPosition> end =
      PositionOf(inputs, *inputs.m_old_primary);
  const Members caught_up = end ? CaughtUp(inputs, *end) : Members();
  if (caught_up.empty()) {
    return StatusesMissing{};
  }
  return ChooseFrom(inputs, caught_up);
}

bool MayChooseAsynchronous(const CandidateInputs& inputs) {
  const std::optional<LogPosition> end =
      inputs.m_old_primary ? PositionOf(inputs, *inputs.m_old_primary)
                           : std::nullopt;
  if (end) {
    return !CaughtUp(inputs, *end).empty() || inputs.m_waited > kCatchUpLimit;
  }
  const bool all_answered =
      HaveAllAnswered(inputs, inputs.m_group.m_candidates);
  return (all_answered && !inputs.m_planned) ||
         inputs.m_waited > kStatusTimeout;
}

}  // namespace

CandidateChoice ChooseCandidate(const CandidateInputs& inputs) {
  if (inputs.m_group.m_sync_replicas > 0) {
    return ChooseSynchronous(inputs);
  }
  if (!MayChooseAsynchronous(inputs)) {
    return StatusesMissing{};
  }
  return ChooseFrom(inputs, inputs.m_group.m_candidates);
}

}  // namespace jasminelug::gateway
