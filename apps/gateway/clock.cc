#include "apps/gateway/clock.h"

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

}  // namespace jasminelug::gateway_app
