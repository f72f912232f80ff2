// Tests when statements leave their region, and how many, under loads of two
// regions.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/locality/spill_control.h"

namespace jasminelug::gateway {
namespace {

constexpr Duration kObjective = 800ms;
constexpr int kPerSecond = 200;

// Runs a control against statements that arrive evenly.
class Load {
 public:
  // Sends statements for `time` and returns how many of them left, in percent.
  int Send(const SpillInput& input, Duration time) {
    int left = 0;
    int all = 0;
    const Time end = m_now + time;
    for (; m_now < end; m_now += Duration(1s) / kPerSecond) {
      left += m_control.Choose(input, m_now) == SpillChoice::kFar ? 1 : 0;
      all += 1;
    }
    return left * 100 / all;
  }

  Time m_now = Time(100s);
  SpillControl m_control;
};

SpillInput Input(std::optional<Duration> near,
                 bool near_is_free,
                 std::optional<Duration> far) {
  return {near, near_is_free, far, kObjective, kObjective};
}

class SpillControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpillControlTest);
  CPPUNIT_TEST(LeavingPaysByLoadAndDistance);
  CPPUNIT_TEST(OnlyAnotherRegionServes);
  CPPUNIT_TEST(OnlyAnotherRegionServesInTime);
  CPPUNIT_TEST(PartGrowsAndShrinksBySteps);
  CPPUNIT_TEST(FullRegionSendsWhatTheOtherOneTakes);
  CPPUNIT_TEST(TwoFullRegionsKeepTheirStatements);
  CPPUNIT_TEST(PartShrinksWithoutLoad);
  CPPUNIT_TEST(WaitingStatementHasNoFurtherTurns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each load lasts for longer than the part needs to grow to its maximum.
  void LeavingPaysByLoadAndDistance() {
    struct Case {
      std::string m_name;
      SpillInput m_input;
      bool m_leaves;
    };
    const std::vector<Case> cases = {
        {"calm", Input(30ms, true, 46ms), false},
        {"short wait, far free", Input(60ms, false, 46ms), false},
        {"an eighth of the objective", Input(100ms, false, 46ms), false},
        {"long wait, far free", Input(400ms, false, 46ms), true},
        {"slow members, far free", Input(400ms, true, 46ms), true},
        {"long wait, far hardly faster", Input(400ms, false, 350ms), false},
        {"long wait, far full", Input(400ms, false, std::nullopt), false},
        {"long wait, distant region", Input(400ms, false, 500ms), false}};
    for (const Case& row : cases) {
      Load load;
      load.Send(row.m_input, 4s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_leaves,
                                   load.m_control.left() > 0);
    }
  }

  // The last member of the own region was lost or evacuated.
  void OnlyAnotherRegionServes() {
    Load load;
    CPPUNIT_ASSERT_EQUAL(100, load.Send(Input(std::nullopt, false, 46ms), 1s));
    CPPUNIT_ASSERT_EQUAL(0, load.m_control.percent());
    CPPUNIT_ASSERT_EQUAL(
        0, load.Send(Input(std::nullopt, false, std::nullopt), 1s));
  }

  // A statement that has waited for long would miss its objective by waiting
  // further. It leaves although the part is still zero.
  void OnlyAnotherRegionServesInTime() {
    struct Case {
      std::string m_name;
      Duration m_time_left;
      std::optional<Duration> m_far;
      SpillChoice m_choice;
    };
    const std::vector<Case> cases = {
        {"time left", 200ms, 46ms, SpillChoice::kWait},
        {"too little time left", 60ms, 46ms, SpillChoice::kFar},
        {"objective missed", -10ms, 46ms, SpillChoice::kFar},
        {"far is slower", 60ms, 120ms, SpillChoice::kWait},
        {"far is full", 60ms, std::nullopt, SpillChoice::kWait}};
    for (const Case& row : cases) {
      SpillInput input = Input(90ms, false, row.m_far);
      input.m_time_left = row.m_time_left;
      SpillControl control;
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             control.Choose(input, Time(100s)) == row.m_choice);
    }
  }

  // A burst in the own region begins and ends.
  void PartGrowsAndShrinksBySteps() {
    Load load;
    int before = 0;
    for (const Duration near : {Duration(400ms), Duration(30ms)}) {
      for (int i = 0; i < 30; ++i) {
        load.Send(Input(near, false, 46ms), SpillControl::kStepInterval);
        const int change = load.m_control.percent() - before;
        CPPUNIT_ASSERT(change <= SpillControl::kStepPercent);
        CPPUNIT_ASSERT(change >= -SpillControl::kStepPercent);
        before = load.m_control.percent();
      }
      const int end = near == Duration(400ms) ? SpillControl::kMaxPercent : 0;
      CPPUNIT_ASSERT_EQUAL(end, before);
    }
  }

  // The answers of the other region become slower with what is sent there: at
  // 40 percent they take as long as those of the own region.
  void FullRegionSendsWhatTheOtherOneTakes() {
    Load load;
    int lowest = 100;
    int highest = 0;
    for (int i = 0; i < 100; ++i) {
      const Duration far = Duration(400ms) * load.m_control.percent() / 40;
      load.Send(Input(400ms, false, far), SpillControl::kStepInterval);
      if (i >= 50) {
        lowest = std::min(lowest, load.m_control.percent());
        highest = std::max(highest, load.m_control.percent());
      }
    }
    CPPUNIT_ASSERT(lowest >= 20);
    CPPUNIT_ASSERT(highest <= 40);
  }

  // Load rises in both regions until both wait equally long. They must not
  // exchange statements.
  void TwoFullRegionsKeepTheirStatements() {
    Load first;
    Load second;
    for (int i = 0; i < 40; ++i) {
      const Duration wait = Duration(15ms) * i;
      const SpillInput input = Input(wait, false, wait + 16ms);
      CPPUNIT_ASSERT_EQUAL(0, first.Send(input, SpillControl::kStepInterval));
      CPPUNIT_ASSERT_EQUAL(0, second.Send(input, SpillControl::kStepInterval));
    }
  }

  // The load ends at once, with the part at its maximum.
  void PartShrinksWithoutLoad() {
    Load load;
    load.Send(Input(400ms, false, 46ms), 4s);
    CPPUNIT_ASSERT(load.m_control.percent() > 0);
    for (int i = 0; i < 200; ++i) {
      load.m_now += 20ms;
      load.m_control.OnTick(load.m_now);
    }
    CPPUNIT_ASSERT_EQUAL(0, load.m_control.percent());
  }

  // A statement that waits is considered each time that a slot becomes free. It
  // must not leave sooner for that.
  void WaitingStatementHasNoFurtherTurns() {
    Load load;
    SpillInput input = Input(400ms, false, 46ms);
    load.Send(input, 1s);
    input.m_has_turn = false;
    const std::uint64_t before = load.m_control.left();
    load.Send(input, 1s);
    CPPUNIT_ASSERT_EQUAL(before, load.m_control.left());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillControlTest);

}  // namespace
}  // namespace jasminelug::gateway
