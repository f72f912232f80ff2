#include "src/gateway/shutdown.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace jasminelug::gateway {
namespace {

class ShutdownTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(ProcessOutlivesItsAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: a caller reads a large answer over a slow link while the instance is
  // stopped.
  // Guards against: review case 3, the process ends while it sends an answer.
  void ProcessOutlivesItsAnswers() {
    struct Case {
      const char* m_name;
      ShutdownProgress m_progress;
      ShutdownStep m_expected;
    };
    const std::vector<Case> cases = {{"idle, but callers still arrive",
                                      {1s, false, false, false, {}, false},
                                      ShutdownStep::kServe},
                                     {"idle",
                                      {3s, false, false, false, {}, false},
                                      ShutdownStep::kDeregister},
                                     {"has sessions",
                                      {3s, false, true, false, {}, false},
                                      ShutdownStep::kServe},
                                     {"sends an answer",
                                      {3s, false, false, true, {}, false},
                                      ShutdownStep::kServe},
                                     {"out of time",
                                      {5500ms, true, true, true, {}, false},
                                      ShutdownStep::kDeregister},
                                     {"deletes its entry",
                                      {5600ms, true, true, false, 100ms, true},
                                      ShutdownStep::kDeregister},
                                     {"still sends",
                                      {5600ms, true, false, true, 100ms, false},
                                      ShutdownStep::kDeregister},
                                     {"has sent all",
                                      {5600ms, true, true, false, 100ms, false},
                                      ShutdownStep::kExit},
                                     {"caller reads nothing",
                                      {5900ms, true, false, true, 300ms, false},
                                      ShutdownStep::kExit}};
    for (const Case& row : cases) {
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, row.m_expected == NextShutdownStep(row.m_progress));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

}  // namespace
}  // namespace jasminelug::gateway
