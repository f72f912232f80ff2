#ifndef TEST_FAKE_PLATFORM_LAGGING_INSTANCES_H_
#define TEST_FAKE_PLATFORM_LAGGING_INSTANCES_H_

#include <chrono>
#include <deque>
#include <map>
#include <string>

#include "jasminelug/platform.h"

namespace jasminelug::fake_platform {

// The platform's list of instances, made from the objects of kind "instance"
// as they were some time ago. Their values give "address", "zone" and
// "draining"; an instance that drains is leaving.
class LaggingInstances {
 public:
  using Clock = std::chrono::steady_clock;

  explicit LaggingInstances(std::chrono::milliseconds lag) : m_lag(lag) {}

  // Takes a change that was made at `now`; other kinds are passed over.
  void Record(const platform::Change& change, Clock::time_point now);

  // Returns the list as of `now` less the lag.
  platform::InstanceList List(Clock::time_point now);

 private:
  struct Pending {
    Clock::time_point m_due;
    platform::Change m_change;
  };

  const std::chrono::milliseconds m_lag;
  std::deque<Pending> m_pending;
  std::map<std::string, platform::Instance> m_listed;
};

}  // namespace jasminelug::fake_platform

#endif  // TEST_FAKE_PLATFORM_LAGGING_INSTANCES_H_
