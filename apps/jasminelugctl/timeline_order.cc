#include "apps/jasminelugctl/timeline_order.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace jasminelug::ctl {
namespace {

using operators::TimelineEntries;
using operators::TimelineEntry;

// Identifies a promotion of a primary.
struct Promotion {
  friend auto operator<=>(const Promotion&, const Promotion&) = default;

  std::string m_database;
  std::uint64_t m_term = 0;
};

Promotion ToPromotion(const TimelineEntry& entry) {
  return {entry.m_database, entry.m_term};
}

bool IsPromotion(const TimelineEntry& entry) {
  return entry.m_kind == "primary_promoted";
}

bool PrecedesInInstance(const TimelineEntry& a, const TimelineEntry& b) {
  return std::tie(a.m_incarnation, a.m_sequence) <
         std::tie(b.m_incarnation, b.m_sequence);
}

// Holds the entries of one instance and the number of those already merged.
struct Stream {
  TimelineEntries m_entries;
  std::size_t m_next = 0;

  bool IsAtEnd() const { return m_next == m_entries.size(); }
  const TimelineEntry& Head() const { return m_entries[m_next]; }
};

// Merges the entries of all instances; see MergeTimelines().
class Merger {
 public:
  explicit Merger(const std::vector<TimelineEntries>& timelines) {
    for (const TimelineEntries& timeline : timelines) {
      for (const TimelineEntry& entry : timeline) {
        m_streams[entry.m_instance].m_entries.push_back(entry);
        if (IsPromotion(entry)) {
          m_pending_promotions.insert(ToPromotion(entry));
        }
      }
    }
    for (auto& [instance, stream] : m_streams) {
      SortUnique(&stream.m_entries);
    }
  }

  TimelineEntries Merge() {
    TimelineEntries merged;
    while (Stream* stream = FindNext()) {
      const TimelineEntry& entry = stream->Head();
      if (IsPromotion(entry)) {
        m_pending_promotions.erase(ToPromotion(entry));
      }
      merged.push_back(entry);
      ++stream->m_next;
    }
    return merged;
  }

 private:
  // Sorts the entries and removes duplicates, which occur if the command line
  // names the same instance by two addresses.
  static void SortUnique(TimelineEntries* entries) {
    std::stable_sort(entries->begin(), entries->end(), PrecedesInInstance);
    entries->erase(std::unique(entries->begin(), entries->end()),
                   entries->end());
  }

  // Returns whether `entry` must follow a promotion that is not merged yet.
  bool IsBlocked(const TimelineEntry& entry) const {
    return entry.m_kind == "primary_learned" &&
           m_pending_promotions.contains(ToPromotion(entry));
  }

  // Returns the stream whose next entry has the earliest time among the entries
  // that are not blocked, or null when all streams are at their end. If all are
  // blocked, which happens when entries were lost or contradict each other,
  // returns the earliest blocked one, so that the merge always ends.
  Stream* FindNext() {
    using Rank = std::pair<bool, std::int64_t>;
    Stream* next = nullptr;
    Rank next_rank;
    for (auto& [instance, stream] : m_streams) {
      if (stream.IsAtEnd()) {
        continue;
      }
      const TimelineEntry& head = stream.Head();
      const Rank rank = {IsBlocked(head), head.m_time_unix_us};
      if (!next || rank < next_rank) {
        next = &stream;
        next_rank = rank;
      }
    }
    return next;
  }

  std::map<std::string, Stream> m_streams;
  // Promotions that some instance recorded and that are not merged yet.
  std::set<Promotion> m_pending_promotions;
};

}  // namespace

TimelineEntries MergeTimelines(const std::vector<TimelineEntries>& timelines) {
  return Merger(timelines).Merge();
}

}  // namespace jasminelug::ctl
