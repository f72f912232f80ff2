#include "src/gateway/replacement_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "src/gateway/replacement_coordinator.h"

namespace jasminelug::gateway {
namespace {

constexpr Time kStart(100s);

ReplacementRecord RecordOf(const char* group,
                           const char* old_primary,
                           const char* coordinator) {
  ReplacementRecord record;
  record.m_coordinator = InstanceId(coordinator);
  record.m_intent = ReplacementIntent{GroupName(group), MemberId(old_primary),
                                      MemberId("r"), false};
  return record;
}

class ReplacementWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacementWatchTest);
  CPPUNIT_TEST(AgeCountsFromTheFirstIntent);
  CPPUNIT_TEST(NoticesAreRareAndEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The second record is read 30 s after the first one, and the age asked for
  // 15 s later.
  void AgeCountsFromTheFirstIntent() {
    struct Case {
      const char* m_name;
      ReplacementRecord m_second;
      std::optional<Duration> m_age;
      bool m_overdue;
    };
    const std::vector<Case> cases = {
        {"the same", RecordOf("g", "p", "a"), 45s, true},
        {"another coordinator", RecordOf("g", "p", "b"), 45s, true},
        {"another primary", RecordOf("g", "q", "a"), 15s, false},
        {"another group", RecordOf("h", "p", "a"), 15s, false},
        {"ended", ReplacementRecord(), std::nullopt, false}};
    for (const Case& row : cases) {
      ReplacementWatch watch;
      watch.Update(RecordOf("g", "p", "a"), kStart);
      watch.Update(row.m_second, kStart + 30s);
      const Time now = kStart + 45s;
      watch.Update(row.m_second, now);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, row.m_age == watch.Age(now));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_overdue,
                                   watch.IsOverdue(now));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_overdue,
                                   watch.TakeNotice(now));
    }
  }

  void NoticesAreRareAndEnd() {
    ReplacementWatch watch;
    const Duration overdue = 2 * ReplacementCoordinator::kReplacementBound;
    watch.Update(RecordOf("g", "p", "a"), kStart);
    CPPUNIT_ASSERT(!watch.TakeNotice(kStart + overdue));
    int notices = 0;
    for (Duration age = overdue; age < overdue + 25s; age += 10ms) {
      notices += watch.TakeNotice(kStart + age) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(3, notices);
    watch.Update(ReplacementRecord(), kStart + overdue + 25s);
    CPPUNIT_ASSERT(!watch.TakeNotice(kStart + overdue + 60s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacementWatchTest);

}  // namespace
}  // namespace jasminelug::gateway
