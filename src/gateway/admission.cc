#include "src/gateway/admission.h"

namespace jasminelug::gateway {

Duration ExpectedAnswerTime(const LineLoad& load) {
  if (load.m_waiting == 0 && load.m_busy < load.m_connections) {
    return load.m_turnaround;
  }
  const auto connections = std::max<std::int64_t>(load.m_connections, 1);
  const auto ahead = static_cast<std::int64_t>(load.m_waiting) + 1;
  return load.m_turnaround + load.m_turnaround * ahead / connections;
}

bool MayWait(const LineLoad& load, Duration limit) {
  return ExpectedAnswerTime(load) <= limit;
}

}  // namespace jasminelug::gateway
