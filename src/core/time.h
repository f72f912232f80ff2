#ifndef SRC_CORE_TIME_H_
#define SRC_CORE_TIME_H_

#include <chrono>

namespace jasminelug::core {

// A duration in microseconds, the time unit of the core.
using Duration = std::chrono::microseconds;

// The monotonic clock of this instance. Times of two instances, or of two
// incarnations of one instance, are never compared.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

// A point on the instance's monotonic clock.
using Time = MonotonicClock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Bound on the difference between the rates of two instances' clocks, as a
// divisor: the rates differ by at most 1/kClockRateDivisor.
inline constexpr int kClockRateDivisor = 100;

// Returns `duration` lengthened by the maximum clock drift. When the result has
// passed on this instance's clock, `duration` has passed on the clock of every
// instance.
inline Duration WithClockDriftMargin(Duration duration) {
  return duration + duration / kClockRateDivisor;
}

}  // namespace jasminelug::core

#endif  // SRC_CORE_TIME_H_
