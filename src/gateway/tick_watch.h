#ifndef SRC_GATEWAY_TICK_WATCH_H_
#define SRC_GATEWAY_TICK_WATCH_H_

#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// A tick that came much later than it was due.
struct LateTick {
  friend bool operator==(const LateTick&, const LateTick&) = default;

  // How much later it came.
  Duration m_delay{0};
  // Processor time that the process has used since the tick before. If it is
  // short, the process waited for a processor or for the system; if it is about
  // as long as the delay, the process was busy itself.
  Duration m_processor_time{0};
};

// Notices ticks that come late. While no tick comes, no time limit is enforced.
class TickWatch {
 public:
  // Delay up to which a tick is not late.
  static constexpr Duration kToleratedDelay = 200ms;

  // Expects a tick every `interval`.
  explicit TickWatch(Duration interval) : m_interval(interval) {}

  // Records a tick, and the processor time that the process has used since its
  // start. Returns the delay if the tick is late.
  std::optional<LateTick> NoteTick(Time now, Duration processor_time);

 private:
  struct Tick {
    Time m_time;
    Duration m_processor_time;
  };

  Duration m_interval;
  std::optional<Tick> m_last;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_TICK_WATCH_H_
