#include "src/gateway/copy_lag.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <vector>

namespace jasminelug::gateway {
namespace {

constexpr Time kStart(100s);

class CopyLagTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CopyLagTest);
  CPPUNIT_TEST(CopyThatLacksARevisionForLongIsOverdue);
  CPPUNIT_TEST(OverdueCopyIsReportedOncePerTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The copy is complete up to revision 5 when the other one is verified at
  // revision `m_verified`, and up to `m_complete` after `m_after`.
  void CopyThatLacksARevisionForLongIsOverdue() {
    struct Case {
      const char* m_name;
      Revision m_verified;
      Revision m_complete;
      Duration m_after;
      bool m_overdue;
    };
    const Revision next_epoch(StoreEpoch(1), 2);
    const std::vector<Case> cases = {
        {"the same revision", Revision(5), Revision(5), 60s, false},
        {"an older revision", Revision(4), Revision(5), 60s, false},
        {"a newer one", Revision(6), Revision(5), CopyLag::kMaxLag, true},
        {"a restored store", next_epoch, Revision(5), CopyLag::kMaxLag, true},
        {"not yet", Revision(6), Revision(5), CopyLag::kMaxLag - 1ms, false},
        {"it arrived", Revision(6), Revision(6), CopyLag::kMaxLag, false}};
    for (const Case& row : cases) {
      CopyLag lag;
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, !lag.TakeOverdue(Revision(5), row.m_verified, kStart));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.m_name, row.m_overdue,
          lag.TakeOverdue(row.m_complete, row.m_verified,
                          kStart + row.m_after));
    }
  }

  // The store changes all the time, and the copy is refreshed each time.
  void OverdueCopyIsReportedOncePerTime() {
    CopyLag lag;
    Revision complete(5);
    std::uint64_t number = 5;
    int reports = 0;
    for (Time now = kStart; now < kStart + 20s; now += 10ms) {
      number += 1;
      if (lag.TakeOverdue(complete, Revision(number), now)) {
        reports += 1;
        complete = Revision(number);
      }
    }
    CPPUNIT_ASSERT(reports >= 9);
    CPPUNIT_ASSERT(reports <= 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyLagTest);

}  // namespace
}  // namespace jasminelug::gateway
