#include "src/core/share_request.h"

#include <xxhash.h>

#include <algorithm>

namespace jasminelug::core {
namespace {

uint64_t WeightOf(const std::string& resource, const InstanceId& instance) {
  const uint64_t seed = XXH64(resource.data(), resource.size(), 0);
  return XXH64(instance.str().data(), instance.str().size(), seed);
}

uint64_t HolderCount(uint64_t amount, uint64_t minimum, uint64_t maximum) {
  return std::clamp<uint64_t>(amount / std::max<uint64_t>(minimum, 1), 1,
                              std::max<uint64_t>(maximum, 1));
}

// Returns burst * numerator / denominator, rounded down.
uint64_t ScaleBurst(uint64_t burst, uint64_t numerator, uint64_t denominator) {
  if (denominator == 0) {
    return 0;
  }
  const long double scaled = static_cast<long double>(burst) *
                             static_cast<long double>(numerator) /
                             static_cast<long double>(denominator);
  return std::min(burst, static_cast<uint64_t>(scaled));
}

}  // namespace

bool IsHolder(const std::string& resource,
              const InstanceId& self,
              const std::vector<InstanceId>& live,
              uint64_t count) {
  const uint64_t own_weight = WeightOf(resource, self);
  const auto higher_count =
      std::count_if(live.begin(), live.end(), [&](const InstanceId& other) {
        return other != self && WeightOf(resource, other) > own_weight;
      });
  return static_cast<uint64_t>(higher_count) < count;
}

ShareRequest ComputeAllowanceRequest(const std::string& resource,
                                     const ShareAmount& goal,
                                     uint64_t demand,
                                     const ShareRequest& previous,
                                     const ShareEnvironment& environment) {
  const uint64_t live = std::max<uint64_t>(environment.m_live.size(), 1);
  const uint64_t count = HolderCount(
      goal.m_burst, environment.m_options.m_min_burst_share,
      std::min<uint64_t>(live, environment.m_options.m_max_holders));
  ShareRequest request;
  request.m_demand = demand;
  if (environment.m_releasing ||
      !IsHolder(resource, environment.m_self.m_instance, environment.m_live,
                count)) {
    return request;
  }
  request.m_equal_share = {goal.m_units / count, goal.m_burst / count};
  const ShareAmount floor = {request.m_equal_share.m_units / 2,
                             request.m_equal_share.m_burst / 2};
  const uint64_t maximum = goal.m_units - (count - 1) * floor.m_units;
  const uint64_t target =
      std::clamp(demand + demand / 4, request.m_equal_share.m_units, maximum);
  // The previous request is kept while it is within a quarter of the target, to
  // avoid a write of the table for every small change.
  const uint64_t previous_units = previous.m_requested.m_units;
  const bool keep = previous.m_equal_share == request.m_equal_share &&
                    previous_units >= target - target / 4 &&
                    previous_units <= target + target / 4;
  const uint64_t units = keep ? previous_units : target;
  request.m_requested.m_units = units;
  request.m_requested.m_burst =
      units == request.m_equal_share.m_units
          ? request.m_equal_share.m_burst
          : ScaleBurst(goal.m_burst, units, goal.m_units);
  request.m_entitlement = request.m_requested;
  if (units > request.m_equal_share.m_units) {
    request.m_idle_floor = floor;
    return request;
  }
  const uint64_t entitlement = std::clamp(demand + demand / 4, floor.m_units,
                                          request.m_equal_share.m_units);
  request.m_entitlement = {
      entitlement, ScaleBurst(request.m_equal_share.m_burst, entitlement,
                              request.m_equal_share.m_units)};
  return request;
}

ShareRequest ComputeConnectionRequest(const std::string& resource,
                                      const ShareAmount& goal,
                                      const ShareEnvironment& environment) {
  const uint64_t live = std::max<uint64_t>(environment.m_live.size(), 1);
  const uint64_t count =
      HolderCount(goal.m_units, environment.m_options.m_min_connections, live);
  ShareRequest request;
  if (environment.m_releasing ||
      !IsHolder(resource, environment.m_self.m_instance, environment.m_live,
                count)) {
    return request;
  }
  request.m_equal_share.m_units = goal.m_units / count;
  request.m_requested.m_units = (goal.m_units + count - 1) / count;
  request.m_entitlement = request.m_equal_share;
  return request;
}

}  // namespace jasminelug::core
