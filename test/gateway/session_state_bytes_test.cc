#include "src/gateway/session_state_bytes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

constexpr std::size_t kKilobyte = 1024;

class SessionStateBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionStateBytesTest);
  CPPUNIT_TEST(HeaviestSessionMayNotAdd);
  CPPUNIT_TEST(EngineRefusesTooManyValues);
  CPPUNIT_TEST(RefusedValueFailsTheTransaction);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HeaviestSessionMayNotAdd() {
    struct Step {
      const char* m_name;
      std::uint64_t m_session;
      std::size_t m_removed_kb;
      std::size_t m_added_kb;
      bool m_allowed;
      std::size_t m_total_kb;
    };
    const std::vector<Step> steps = {
        {"a part of the limit", 1, 0, 10, true, 10},
        {"more than a part", 1, 0, 1, false, 10},
        {"a smaller value in place of another", 1, 5, 4, true, 9},
        {"another session", 2, 0, 10, true, 19},
        {"the last that fits", 3, 0, 10, true, 29},
        {"over the limit of all", 4, 0, 10, false, 29},
        {"a few values always fit", 4, 0, 4, true, 33},
    };
    // One session may keep 10 KB; three of them nearly reach the limit.
    SessionStateBytes bytes(160 * kKilobyte);
    bytes.Replace(SessionId(9), 0, 10 * kKilobyte);
    std::size_t other = 10;
    for (std::uint64_t id = 10; id < 22; ++id) {
      bytes.Replace(SessionId(id), 0, 10 * kKilobyte);
      other += 10;
    }
    for (const Step& step : steps) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(step.m_name, step.m_allowed,
                                   bytes.Replace(SessionId(step.m_session),
                                                 step.m_removed_kb * kKilobyte,
                                                 step.m_added_kb * kKilobyte));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(step.m_name,
                                   (other + step.m_total_kb) * kKilobyte,
                                   bytes.total_bytes());
    }
    bytes.Remove(SessionId(1));
    CPPUNIT_ASSERT_EQUAL((other + 24) * kKilobyte, bytes.total_bytes());
  }

  // Load: a caller sets a new value with each statement, without an end.
  void EngineRefusesTooManyValues() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const SessionId other = fixture.Open("strict");
    const std::string value(64 * kKilobyte, 'x');
    int accepted = 0;
    for (int i = 0; i < 1000; ++i) {
      fixture.SetValue(id, "v" + std::to_string(i), value);
      accepted += fixture.Succeeded(id) ? 1 : 0;
    }
    CPPUNIT_ASSERT(accepted > 0);
    CPPUNIT_ASSERT(accepted * value.size() <=
                   EngineOptions().m_session_state_limit);
    CPPUNIT_ASSERT(ErrorCode::kBusy == fixture.LastError(id));
    fixture.SetValue(other, "v", "1");
    CPPUNIT_ASSERT(fixture.Succeeded(other));
    // The same value again takes no more memory.
    fixture.SetValue(id, "v0", value);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
    // What an ended session kept may be used again.
    fixture.m_engine.OnSessionEnd(id, fixture.m_now);
    const SessionId next = fixture.Open("strict");
    fixture.SetValue(next, "v", value);
    CPPUNIT_ASSERT(fixture.Succeeded(next));
  }

  // BUSY promises that nothing of the attempt is kept.
  void RefusedValueFailsTheTransaction() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    const std::string value(EngineOptions().m_session_state_limit, 'x');
    fixture.SetValue(id, "v", value);
    CPPUNIT_ASSERT(ErrorCode::kBusy == fixture.LastError(id));
    fixture.Send(id, StatementKind::kCommit, "COMMIT");
    CPPUNIT_ASSERT(ErrorCode::kAborted == fixture.LastError(id));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionStateBytesTest);

}  // namespace
}  // namespace jasminelug::gateway
