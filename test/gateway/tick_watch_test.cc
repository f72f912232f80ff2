#include "src/gateway/tick_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

namespace jasminelug::gateway {
namespace {

constexpr Duration kInterval = 20ms;

class TickWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TickWatchTest);
  CPPUNIT_TEST(LateTicksAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateTicksAreReported() {
    struct Case {
      Duration m_since_last;
      Duration m_processor_time;
      std::optional<LateTick> m_late;
    };
    const std::vector<Case> cases = {
        {kInterval, 1ms, {}},
        {kInterval + TickWatch::kToleratedDelay, 1ms, {}},
        {kInterval + TickWatch::kToleratedDelay + 1ms, 2ms,
         LateTick{TickWatch::kToleratedDelay + 1ms, 2ms}},
        {1s, 900ms, LateTick{980ms, 900ms}}};
    for (const Case& row : cases) {
      TickWatch watch(kInterval);
      const Time start(5s);
      CPPUNIT_ASSERT(!watch.NoteTick(start, 3s));
      const std::optional<LateTick> late =
          watch.NoteTick(start + row.m_since_last, 3s + row.m_processor_time);
      CPPUNIT_ASSERT(row.m_late == late);
      // The next tick is measured from this one.
      CPPUNIT_ASSERT(!watch.NoteTick(start + row.m_since_last + kInterval, 4s));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TickWatchTest);

}  // namespace
}  // namespace jasminelug::gateway
