#include "apps/gateway/clock.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace jasminelug::gateway_app {

namespace {

gateway::Duration Read(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  const auto read = std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec);
  return std::chrono::duration_cast<gateway::Duration>(read);
}

}  // namespace

gateway::Time Now() {
  return gateway::Time(Read(CLOCK_BOOTTIME));
}

gateway::Duration ProcessorTime() {
  return Read(CLOCK_PROCESS_CPUTIME_ID);
}

gateway::Incarnation NewIncarnation() {
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  return gateway::Incarnation(static_cast<std::uint64_t>(since_epoch.count()));
}

std::int64_t ToMilliseconds(gateway::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace jasminelug::gateway_app
