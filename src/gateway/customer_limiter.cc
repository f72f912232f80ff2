#include "src/gateway/customer_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace jasminelug::gateway {
namespace {

// Number of operations that all instances together may store beyond their
// shares of a small burst, and the bounds of the resulting minimum capacity of
// one bucket.
constexpr double kFleetSpareOperations = 14;
constexpr double kSmallestMinCapacity = 0.5;
constexpr double kLargestMinCapacity = 2;
// Overdraft of one instance while the fleet admits nothing. It shrinks to zero
// as the operations that the fleet admits approach kSpareRateFraction of the
// rate.
constexpr double kMaxOverdraft = 4;
// Fraction of the burst that is stored if a customer has more than
// kFleetSpareOperations holders. The rest compensates for the overdrafts of the
// instances.
constexpr double kLargeFleetStoredFraction = 0.6;
// If the fleet admits less than this fraction of the rate, buckets may be
// overdrawn.
constexpr double kSpareRateFraction = 0.9;
// Initial tokens of a bucket, as a fraction of the burst and as seconds of the
// rate; the smaller amount is used. A restarted instance can serve at once, and
// even if all instances restart at the same moment, the operations they grant
// stay within the excess that customers are allowed (a tenth of five seconds'
// rate plus the burst).
constexpr double kNewBucketBurstFraction = 0.5;
constexpr double kNewBucketRateSeconds = 0.35;
// Time over which demand is averaged.
constexpr Duration kDemandWindow = 1500ms;
// Minimum demand that is reported, in operations per second.
constexpr double kMinReportedDemand = 0.05;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double CustomerLimiter::CapacityOf(const Bucket& bucket) const {
  const int holders = bucket.m_share.m_holder_count > 0
                          ? bucket.m_share.m_holder_count
                          : m_instance_count;
  const double min_capacity =
      std::clamp(kFleetSpareOperations / holders, kSmallestMinCapacity,
                 kLargestMinCapacity);
  const double stored =
      holders > kFleetSpareOperations ? kLargeFleetStoredFraction : 1;
  const double burst = bucket.m_limits.m_burst_operations;
  return std::max(burst * bucket.m_share.m_fraction * stored, min_capacity);
}

void CustomerLimiter::Refill(Bucket* bucket, Time now) const {
  const double seconds = ToSeconds(now - bucket->m_refilled);
  bucket->m_refilled = now;
  const double rate = bucket->m_limits.m_operations_per_second;
  bucket->m_tokens += rate * bucket->m_share.m_fraction * seconds;
  bucket->m_tokens = std::min(bucket->m_tokens, CapacityOf(*bucket));
}

double CustomerLimiter::Overdraft(const Bucket& bucket) const {
  const std::optional<double>& admitted = bucket.m_share.m_fleet_admitted;
  const double spare_limit =
      bucket.m_limits.m_operations_per_second * kSpareRateFraction;
  if (!admitted || *admitted >= spare_limit) {
    return 0;
  }
  return kMaxOverdraft * (1 - *admitted / spare_limit);
}

double CustomerLimiter::Decay(const Bucket& bucket, Time now) {
  const double windows =
      ToSeconds(now - bucket.m_decayed_at) / ToSeconds(kDemandWindow);
  return std::exp(-windows);
}

void CustomerLimiter::SetLimits(const Configuration& configuration, Time now) {
  std::map<CustomerName, Bucket> buckets;
  for (const auto& [customer, limits] : configuration.m_customers) {
    Bucket bucket;
    bucket.m_share.m_fraction = 1.0 / m_instance_count;
    bucket.m_refilled = now;
    bucket.m_decayed_at = now;
    const auto known = m_buckets.find(customer);
    if (known != m_buckets.end()) {
      bucket = known->second;
      Refill(&bucket, now);
    }
    bucket.m_limits = limits;
    if (known == m_buckets.end()) {
      const double tokens =
          std::min(limits.m_burst_operations * kNewBucketBurstFraction,
                   limits.m_operations_per_second * kNewBucketRateSeconds);
      bucket.m_tokens = tokens * bucket.m_share.m_fraction;
    }
    Refill(&bucket, now);
    buckets.emplace(customer, bucket);
  }
  m_buckets = std::move(buckets);
}

void CustomerLimiter::SetShare(const CustomerName& customer,
                               const CustomerShare& share,
                               Time now) {
  const auto found = m_buckets.find(customer);
  if (found == m_buckets.end()) {
    return;
  }
  Refill(&found->second, now);
  found->second.m_share = share;
}

bool CustomerLimiter::Take(const CustomerName& customer, Time now) {
  const auto found = m_buckets.find(customer);
  if (found == m_buckets.end()) {
    return false;
  }
  Bucket& bucket = found->second;
  const double decay = Decay(bucket, now);
  bucket.m_recent_operations = bucket.m_recent_operations * decay + 1;
  bucket.m_recent_admitted *= decay;
  bucket.m_decayed_at = now;
  Refill(&bucket, now);
  if (bucket.m_tokens + Overdraft(bucket) < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  bucket.m_recent_admitted += 1;
  return true;
}

std::string CustomerLimiter::Describe(const CustomerName& customer) const {
  const auto found = m_buckets.find(customer);
  if (found == m_buckets.end()) {
    return "the customer is not known";
  }
  const Bucket& bucket = found->second;
  const std::optional<double>& admitted = bucket.m_share.m_fleet_admitted;
  char text[160];
  std::snprintf(
      text, sizeof(text),
      "the customer is over its rate: %.1f/s, part %.4f, tokens %.2f, "
      "all admit %.1f/s",
      bucket.m_limits.m_operations_per_second, bucket.m_share.m_fraction,
      bucket.m_tokens, admitted.value_or(-1));
  return text;
}

std::vector<CustomerDemand> CustomerLimiter::Demand(Time now) const {
  std::vector<CustomerDemand> demand;
  for (const auto& [customer, bucket] : m_buckets) {
    const double to_rate = Decay(bucket, now) / ToSeconds(kDemandWindow);
    const double rate = bucket.m_recent_operations * to_rate;
    if (rate >= kMinReportedDemand) {
      demand.push_back({customer, rate, bucket.m_recent_admitted * to_rate});
    }
  }
  return demand;
}

}  // namespace jasminelug::gateway
