#include "src/gateway/caller_buffers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;

// A caller that sends statements without a pause and reads slowly.
struct SlowCaller {
  SessionId m_id;
  CallerLoad m_load;
  bool m_may_read = true;
};

class CallerBuffersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerBuffersTest);
  CPPUNIT_TEST(LimitsFollowFromTheProcess);
  CPPUNIT_TEST(ReadingPausesUntilHalfIsSent);
  CPPUNIT_TEST(HeaviestConnectionIsClosed);
  CPPUNIT_TEST(SlowCallersStayWithinTheLimit);
  CPPUNIT_TEST(HalfLinesStayWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitsFollowFromTheProcess() {
    struct Case {
      std::size_t m_memory_bytes;
      std::size_t m_descriptors;
      CallerBufferLimits m_expected;
    };
    const std::vector<Case> cases = {
        {160 * kMegabyte, 4300, {40 * kMegabyte, 3300}},
        {512 * kMegabyte, 2001, {128 * kMegabyte, 1001}},
        {260 * kMegabyte, 1000, {65 * kMegabyte, 500}},
    };
    for (const Case& row : cases) {
      CPPUNIT_ASSERT(
          row.m_expected ==
          CallerBufferLimitsFor(row.m_memory_bytes, row.m_descriptors));
    }
  }

  void ReadingPausesUntilHalfIsSent() {
    struct Step {
      const char* m_name;
      CallerLoad m_load;
      bool m_may_read;
    };
    const std::vector<Step> steps = {
        {"nothing is held", {0, 0, 0}, true},
        {"up to the bound", {kMegabyte, 0, 0}, true},
        {"over the bound", {kMegabyte + 1, 0, 0}, false},
        {"not yet at half", {kMegabyte / 2 + 1, 0, 0}, false},
        {"at half", {kMegabyte / 2, 0, 0}, true},
        {"over half again", {kMegabyte / 2 + 1, 0, 0}, true},
        {"a statement is being run", {0, 0, 1}, true},
        {"another one waits", {0, 0, 2}, false},
        {"one was answered", {0, 0, 1}, true},
        {"a long message arrives", {0, kMegabyte, 0}, true},
    };
    CallerBuffers buffers({100 * kMegabyte, 10});
    for (const Step& step : steps) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(step.m_name, step.m_may_read,
                                   buffers.Update(SessionId(1), step.m_load));
    }
  }

  void HeaviestConnectionIsClosed() {
    CallerBuffers buffers({10 * kMegabyte, 2});
    buffers.Update(SessionId(1), {6 * kMegabyte, 0, 0});
    buffers.Update(SessionId(2), {0, 2 * kMegabyte, 0});
    CPPUNIT_ASSERT(!buffers.IsTooMany(2));
    CPPUNIT_ASSERT(buffers.IsTooMany(3));
    CPPUNIT_ASSERT(!buffers.ConnectionToClose());
    buffers.Update(SessionId(3), {1, 0, 0});
    CPPUNIT_ASSERT(SessionId(1) == buffers.ConnectionToClose());
    buffers.Remove(SessionId(1));
    CPPUNIT_ASSERT(!buffers.ConnectionToClose());
    CPPUNIT_ASSERT_EQUAL(4 * kMegabyte + 1, buffers.total_bytes());
    CPPUNIT_ASSERT(CallerLoad{} == buffers.LoadOf(SessionId(1)));
  }

  // Load: callers send statements without a pause and read at 10 Mbit/s.
  // Guards against: review case 5, the process exceeds its memory.
  void SlowCallersStayWithinTheLimit() {
    struct Case {
      const char* m_name;
      std::size_t m_callers;
      std::size_t m_answer_bytes;
      // Whether all callers are served without closing one.
      bool m_all_kept;
    };
    const std::vector<Case> cases = {
        {"one caller, short answers", 1, 60, true},
        {"20 callers, short answers", 20, 60, true},
        {"200 callers, short answers", 200, 60, true},
        {"200 callers, rows of 64 KB", 200, 64 * kKilobyte, true},
        {"20 callers, rows of 1 MB", 20, kMegabyte, true},
        {"200 callers, rows of 1 MB", 200, kMegabyte, false},
        {"one caller, an answer of 18 MB", 1, 18 * kMegabyte, true},
    };
    for (const Case& row : cases) {
      PlaySlowCallers(row.m_name, row.m_callers, row.m_answer_bytes,
                      row.m_all_kept);
    }
  }

  // Load: callers send a message of the maximum length without its end.
  void HalfLinesStayWithinTheLimit() {
    const CallerBufferLimits limits =
        CallerBufferLimitsFor(160 * kMegabyte, 4300);
    CallerBuffers buffers(limits);
    int closed = 0;
    for (std::uint64_t id = 1; id <= 1000; ++id) {
      CPPUNIT_ASSERT(buffers.Update(SessionId(id), {0, kMegabyte, 0}));
      while (const auto heaviest = buffers.ConnectionToClose()) {
        buffers.Remove(*heaviest);
        closed += 1;
      }
      CPPUNIT_ASSERT(buffers.total_bytes() <= limits.m_total_bytes);
    }
    CPPUNIT_ASSERT_EQUAL(980, closed);
  }

 private:
  static constexpr std::size_t kReadPerStep = 10'000'000 / 8 / 50;
  static constexpr int kSteps = 500;
  // Statements that a caller sends in a step, unless reading pauses.
  static constexpr int kSentPerStep = 200;

  static void PlaySlowCallers(const std::string& name,
                              std::size_t count,
                              std::size_t answer_bytes,
                              bool all_kept) {
    const CallerBufferLimits limits =
        CallerBufferLimitsFor(160 * kMegabyte, 4300);
    CallerBuffers buffers(limits);
    const SessionId other(1);
    std::vector<SlowCaller> callers;
    for (std::size_t i = 0; i < count; ++i) {
      callers.push_back({SessionId(i + 2), {}, true});
    }
    std::size_t closed = 0;
    for (int step = 0; step < kSteps; ++step) {
      for (SlowCaller& caller : callers) {
        Step(&buffers, &caller, answer_bytes);
        while (const auto heaviest = buffers.ConnectionToClose()) {
          CPPUNIT_ASSERT_MESSAGE(name, *heaviest != other);
          buffers.Remove(*heaviest);
          Reconnect(*heaviest, &callers);
          closed += 1;
        }
      }
      CPPUNIT_ASSERT_MESSAGE(name,
                             buffers.total_bytes() <= limits.m_total_bytes);
      CPPUNIT_ASSERT_MESSAGE(name, buffers.Update(other, {60, 0, 1}));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, all_kept, closed == 0);
  }

  static void Step(CallerBuffers* buffers,
                   SlowCaller* caller,
                   std::size_t answer_bytes) {
    CallerLoad& load = caller->m_load;
    load.m_unsent_bytes -= std::min(load.m_unsent_bytes, kReadPerStep);
    caller->m_may_read = buffers->Update(caller->m_id, load);
    for (int sent = 0; sent < kSentPerStep && caller->m_may_read; ++sent) {
      load.m_unsent_bytes += answer_bytes;
      caller->m_may_read = buffers->Update(caller->m_id, load);
    }
  }

  static void Reconnect(SessionId id, std::vector<SlowCaller>* callers) {
    for (SlowCaller& caller : *callers) {
      if (caller.m_id == id) {
        caller = {id, {}, true};
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerBuffersTest);

}  // namespace
}  // namespace jasminelug::gateway
