#ifndef SRC_CORE_RETRY_POLICY_H_
#define SRC_CORE_RETRY_POLICY_H_

#include <algorithm>
#include <cstdint>

#include "src/core/context.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Limits the retries of this instance to a fraction of its requests, and
// delays them by exponential backoff with jitter.
class RetryPolicy {
 public:
  // Records the first attempt of a request, which adds to the retry budget.
  void OnRequest() { m_tenths = std::min(m_tenths + 1, kMaxTenths); }

  // Takes one retry from the budget. Returns false if the budget is empty.
  bool TryRetry() {
    if (m_tenths < kTenthsPerRetry) {
      return false;
    }
    m_tenths -= kTenthsPerRetry;
    return true;
  }

  // Returns the delay before the next attempt, after `attempt` attempts. It is
  // random between d / 2 and d, where d is kInitialDelay doubled `attempt`
  // times, but at most kMaxDoublings times.
  static Duration DelayOf(uint32_t attempt, Context& context) {
    const uint32_t doublings = std::min(attempt, kMaxDoublings);
    const Duration delay = kInitialDelay * (1U << doublings);
    return delay / 2 + context.RandomUpTo(delay / 2);
  }

 private:
  static constexpr Duration kInitialDelay = 5ms;
  static constexpr uint32_t kMaxDoublings = 6;
  // Every request adds a tenth of a retry to the budget, up to 50 retries.
  static constexpr uint32_t kTenthsPerRetry = 10;
  static constexpr uint32_t kMaxTenths = 50 * kTenthsPerRetry;

  // The budget, in tenths of a retry.
  uint32_t m_tenths = kMaxTenths;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_RETRY_POLICY_H_
