#include "apps/jasminelugctl/timeline_order.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace jasminelug::ctl {
namespace {

using operators::TimelineEntries;
using operators::TimelineEntry;

TimelineEntry MakeEntry(const std::string& instance,
                        std::uint64_t incarnation,
                        std::uint64_t sequence,
                        std::int64_t time,
                        const std::string& kind = "request_received",
                        std::uint64_t term = 0) {
  TimelineEntry entry;
  entry.m_instance = instance;
  entry.m_incarnation = incarnation;
  entry.m_sequence = sequence;
  entry.m_time_unix_us = time;
  entry.m_kind = kind;
  entry.m_database = "beds";
  entry.m_term = term;
  return entry;
}

std::string Describe(const TimelineEntries& entries) {
  std::string text;
  for (const TimelineEntry& entry : entries) {
    text += (text.empty() ? "" : " ") + entry.m_instance +
            std::to_string(entry.m_incarnation) + "." +
            std::to_string(entry.m_sequence);
  }
  return text;
}

class TimelineOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineOrderTest);
  CPPUNIT_TEST(TimelinesAreMerged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TimelinesAreMerged() {
    const char* const promoted = "primary_promoted";
    const char* const learned = "primary_learned";
    struct Row {
      const char* m_name;
      std::vector<TimelineEntries> m_timelines;
      const char* m_order;
    };
    const Row rows[] = {
        {"nothing", {}, ""},
        {"wall time",
         {{MakeEntry("a", 1, 1, 10), MakeEntry("a", 1, 2, 30)},
          {MakeEntry("b", 1, 1, 20)}},
         "a1.1 b1.1 a1.2"},
        {"a clock that was set back",
         {{MakeEntry("a", 1, 2, 5), MakeEntry("a", 1, 1, 10)}},
         "a1.1 a1.2"},
        {"a later incarnation",
         {{MakeEntry("a", 2, 1, 5), MakeEntry("a", 1, 9, 10)}},
         "a1.9 a2.1"},
        {"learned by a clock that is behind",
         {{MakeEntry("a", 1, 1, 100, promoted, 3)},
          {MakeEntry("b", 1, 1, 10, learned, 3), MakeEntry("b", 1, 2, 20)}},
         "a1.1 b1.1 b1.2"},
        {"another term is no link",
         {{MakeEntry("a", 1, 1, 100, promoted, 3)},
          {MakeEntry("b", 1, 1, 10, learned, 2)}},
         "b1.1 a1.1"},
        {"links that contradict each other",
         {{MakeEntry("a", 1, 1, 20, learned, 4),
           MakeEntry("a", 1, 2, 30, promoted, 3)},
          {MakeEntry("b", 1, 1, 10, learned, 3),
           MakeEntry("b", 1, 2, 40, promoted, 4)}},
         "b1.1 b1.2 a1.1 a1.2"},
        {"one instance under two addresses",
         {{MakeEntry("a", 1, 1, 10)}, {MakeEntry("a", 1, 1, 10)}},
         "a1.1"},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::string(row.m_order),
                                   Describe(MergeTimelines(row.m_timelines)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineOrderTest);

}  // namespace
}  // namespace jasminelug::ctl
