#include "src/gateway/customer_limiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminelug::gateway {
namespace {

// A share of a small burst still lets two callers in at once.
constexpr double kLeastCapacityOperations = 2;
// Tokens of a bucket that is new, in parts of the burst and of a second's rate;
// the lesser counts. A restarted instance serves at once, and what all
// instances grant by restarting at the same moment stays within the excess that
// customers are allowed (a tenth of five seconds' rate and the burst).
constexpr double kNewBucketBurstPart = 0.5;
constexpr double kNewBucketRateSeconds = 0.35;
// Time over which demand is averaged.
constexpr Duration kDemandWindow = 1500ms;
// Demand below this, in operations a second, is not reported.
constexpr double kLeastReportedDemand = 0.05;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void CustomerLimiter::Refill(Bucket* bucket, Time now) {
  const double seconds = ToSeconds(now - bucket->m_refilled);
  bucket->m_refilled = now;
  const double rate = bucket->m_limits.m_operations_per_second;
  const double capacity =
      std::max(bucket->m_limits.m_burst_operations * bucket->m_share,
               kLeastCapacityOperations);
  bucket->m_tokens += rate * bucket->m_share * seconds;
  bucket->m_tokens = std::min(bucket->m_tokens, capacity);
}

double CustomerLimiter::Decayed(const Bucket& bucket, Time now) {
  const double windows =
      ToSeconds(now - bucket.m_counted) / ToSeconds(kDemandWindow);
  return bucket.m_recent_operations * std::exp(-windows);
}

void CustomerLimiter::SetLimits(const Configuration& configuration, Time now) {
  std::map<CustomerName, Bucket> buckets;
  for (const auto& [customer, limits] : configuration.m_customers) {
    Bucket bucket;
    bucket.m_share = m_default_share;
    bucket.m_refilled = now;
    bucket.m_counted = now;
    const auto known = m_buckets.find(customer);
    if (known != m_buckets.end()) {
      bucket = known->second;
      Refill(&bucket, now);
    }
    bucket.m_limits = limits;
    if (known == m_buckets.end()) {
      const double tokens =
          std::min(limits.m_burst_operations * kNewBucketBurstPart,
                   limits.m_operations_per_second * kNewBucketRateSeconds);
      bucket.m_tokens = tokens * bucket.m_share;
    }
    Refill(&bucket, now);
    buckets.emplace(customer, bucket);
  }
  m_buckets = std::move(buckets);
}

void CustomerLimiter::SetShare(const CustomerName& customer,
                               double share,
                               Time now) {
  const auto found = m_buckets.find(customer);
  if (found == m_buckets.end()) {
    return;
  }
  Refill(&found->second, now);
  found->second.m_share = share;
}

void CustomerLimiter::SetDefaultShare(double share, Time now) {
  m_default_share = share;
  for (auto& [customer, bucket] : m_buckets) {
    Refill(&bucket, now);
    bucket.m_share = share;
  }
}

bool CustomerLimiter::Take(const CustomerName& customer, Time now) {
  const auto found = m_buckets.find(customer);
  if (found == m_buckets.end()) {
    return false;
  }
  Bucket& bucket = found->second;
  bucket.m_recent_operations = Decayed(bucket, now) + 1;
  bucket.m_counted = now;
  Refill(&bucket, now);
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

std::vector<CustomerDemand> CustomerLimiter::Demand(Time now) const {
  std::vector<CustomerDemand> demand;
  for (const auto& [customer, bucket] : m_buckets) {
    const double rate = Decayed(bucket, now) / ToSeconds(kDemandWindow);
    if (rate >= kLeastReportedDemand) {
      demand.push_back({customer, rate});
    }
  }
  return demand;
}

}  // namespace jasminelug::gateway
