#ifndef APPS_JASMINELUGD_TIMELINE_H_
#define APPS_JASMINELUGD_TIMELINE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <utility>

#include "jasminelug/core.h"

namespace jasminelug::daemon {

// An event of this instance and its time by the instance's wall clock.
struct TimelineRecord {
  core::TimelineEvent m_event;
  std::chrono::system_clock::time_point m_wall_time;
};

// Holds the latest events of this instance, up to a capacity, in memory only.
class Timeline {
 public:
  explicit Timeline(std::size_t capacity) : m_capacity(capacity) {}

  // Adds an event, and drops the oldest one if the capacity is reached.
  void Add(core::TimelineEvent event) {
    if (m_records.size() >= m_capacity) {
      m_records.pop_front();
    }
    m_records.push_back(
        TimelineRecord{std::move(event), std::chrono::system_clock::now()});
  }

  const std::deque<TimelineRecord>& records() const { return m_records; }

 private:
  std::size_t m_capacity;
  std::deque<TimelineRecord> m_records;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_TIMELINE_H_
