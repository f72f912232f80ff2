#include "src/core/token_bucket.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace jasminelug::core {
namespace {

Time At(Duration time) {
  return Time(time);
}

class TokenBucketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenBucketTest);
  CPPUNIT_TEST(LevelFollowsRateAndCapacity);
  CPPUNIT_TEST(StartsEmpty);
  CPPUNIT_TEST(SmallRefillsAreNotRoundedAway);
  CPPUNIT_TEST(SmallerCapacityCutsTheLevel);
  CPPUNIT_TEST(ClockThatGoesBackRefillsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LevelFollowsRateAndCapacity() {
    struct Case {
      uint64_t m_rate;
      uint64_t m_capacity;
      Duration m_time;
      uint64_t m_level;
    };
    const std::vector<Case> cases = {{1000, 5000, 1s, 1000},
                                     {1000, 5000, 500ms, 500},
                                     {1000, 5000, 60s, 5000},
                                     {0, 5000, 60s, 0},
                                     {1000, 0, 60s, 0},
                                     {1, 5000, 999ms, 0},
                                     {1ULL << 40U, 7000, 1s, 7000}};
    for (const Case& row : cases) {
      TokenBucket bucket;
      bucket.SetLimits(row.m_rate, row.m_capacity, At(0s));
      CPPUNIT_ASSERT_EQUAL(row.m_level, bucket.Level(At(row.m_time)));
    }
  }

  void StartsEmpty() {
    TokenBucket bucket;
    bucket.SetLimits(1000, 5000, At(100s));
    CPPUNIT_ASSERT(!bucket.Take(1, At(100s)));
    CPPUNIT_ASSERT(bucket.Take(1000, At(101s)));
    CPPUNIT_ASSERT(!bucket.Take(1, At(101s)));
  }

  void SmallRefillsAreNotRoundedAway() {
    TokenBucket bucket;
    bucket.SetLimits(7, 5000, At(0s));
    for (Duration time = 0s; time <= 10s; time += 1ms) {
      bucket.Take(1000, At(time));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{70}, bucket.Level(At(10s)));
  }

  void SmallerCapacityCutsTheLevel() {
    TokenBucket bucket;
    bucket.SetLimits(1000, 5000, At(0s));
    bucket.SetLimits(1000, 2000, At(5s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, bucket.Level(At(5s)));
    bucket.SetLimits(0, 5000, At(5s));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, bucket.Level(At(5s)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3000}, bucket.Add(9000, At(5s)));
  }

  void ClockThatGoesBackRefillsNothing() {
    TokenBucket bucket;
    bucket.SetLimits(1000, 5000, At(0s));
    CPPUNIT_ASSERT(bucket.Take(1000, At(1s)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, bucket.Level(At(500ms)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, bucket.Level(At(1s)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

}  // namespace
}  // namespace jasminelug::core
