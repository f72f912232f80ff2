#include "apps/gateway/clock.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace jasminelug::gateway_app {

gateway::Time Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto since_boot = std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec);
  return gateway::Time(
      std::chrono::duration_cast<gateway::Duration>(since_boot));
}

gateway::Incarnation NewIncarnation() {
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  return gateway::Incarnation(static_cast<std::uint64_t>(since_epoch.count()));
}

}  // namespace jasminelug::gateway_app
