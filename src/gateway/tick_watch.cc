#include "src/gateway/tick_watch.h"

#include <utility>

namespace jasminelug::gateway {

std::optional<LateTick> TickWatch::NoteTick(Time now, Duration processor_time) {
  const std::optional<Tick> last =
      std::exchange(m_last, Tick{now, processor_time});
  if (!last) {
    return std::nullopt;
  }
  const Duration delay = now - last->m_time - m_interval;
  if (delay <= kToleratedDelay) {
    return std::nullopt;
  }
  return LateTick{delay, processor_time - last->m_processor_time};
}

}  // namespace jasminelug::gateway
