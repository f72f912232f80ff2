#ifndef SRC_CORE_DEMAND_METER_H_
#define SRC_CORE_DEMAND_METER_H_

#include <cstdint>

#include "src/core/time.h"

namespace jasminelug::core {

// Measures the rate of use by exponentially weighted averages over fixed
// windows.
class DemandMeter {
 public:
  static constexpr Duration kWindow = 250ms;

  // Adds a use of `amount` to the current window.
  void Add(uint64_t amount, Time now) {
    CloseWindows(now);
    m_current += amount;
  }

  // Adds all windows that have ended by `now` to the averages.
  void CloseWindows(Time now) {
    if (now < m_start + kWindow) {
      return;
    }
    const auto windows = (now - m_start) / kWindow;
    CloseWindow(m_current);
    m_current = 0;
    for (int64_t i = 1; i < windows && i < kMaxEmptyWindows; ++i) {
      CloseWindow(0);
    }
    m_start = now;
  }

  // Returns the use per second, averaged over about the last second.
  uint64_t RecentRate() const {
    return static_cast<uint64_t>(m_recent_average);
  }

  // Returns the use per second, averaged over about the last ten seconds.
  uint64_t LongTermRate() const {
    return static_cast<uint64_t>(m_long_term_average);
  }

 private:
  static constexpr int64_t kMaxEmptyWindows = 200;
  static constexpr int64_t kWindowsPerSecond = 1s / kWindow;

  void CloseWindow(uint64_t used) {
    const auto rate = static_cast<double>(used * kWindowsPerSecond);
    m_recent_average += (rate - m_recent_average) / kRecentWindows;
    m_long_term_average += (rate - m_long_term_average) / kLongTermWindows;
  }

  static constexpr double kRecentWindows = 3;
  static constexpr double kLongTermWindows = 40;

  Time m_start;
  uint64_t m_current = 0;
  double m_recent_average = 0;
  double m_long_term_average = 0;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_DEMAND_METER_H_
