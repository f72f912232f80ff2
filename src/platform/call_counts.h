#ifndef SRC_PLATFORM_CALL_COUNTS_H_
#define SRC_PLATFORM_CALL_COUNTS_H_

#include <cstdint>

namespace jasminelug::platform {

// Numbers of calls of the object API, counted as the platform counts them: each
// call that reaches the platform counts once, whatever its answer. A watch
// counts once, however long it waits.
struct CallCounts {
  std::int64_t m_get = 0;
  std::int64_t m_list = 0;
  std::int64_t m_put = 0;
  std::int64_t m_delete = 0;
  std::int64_t m_watch = 0;
  std::int64_t m_instances = 0;

  std::int64_t Total() const {
    return m_get + m_list + m_put + m_delete + m_watch + m_instances;
  }

  bool operator==(const CallCounts&) const = default;
};

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_CALL_COUNTS_H_
