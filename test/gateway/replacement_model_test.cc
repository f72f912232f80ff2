#include "test/gateway/replacement_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

// Time from the last fault until a live instance holds a failed primary for
// failed, or hears what it missed.
constexpr Duration kNoticeTime = 2s;
// Time after the end of the replacement within which all instances have read
// it.
constexpr Duration kSpreadTime = 5s;
// Time after which no instance takes a live one for lost, whatever it has heard
// before.
constexpr Duration kForgetTime = 2 * PeerView::kExpiryTime;
// Time for which the store is not restored before the last fault: a survey
// comes before the replacement then.
constexpr Duration kSurveyTime = 8s;

unsigned NumberFrom(const char* variable, unsigned fallback) {
  const char* text = std::getenv(variable);
  return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10))
              : fallback;
}

// A fleet under random faults, drawn from a seed.
class FaultyFleet {
 public:
  // What stays broken after the last fault.
  struct Remains {
    // Part of the pairs of instances of which one does not hear the other.
    double m_deaf = 0;
    // Whether all instances but the last one reach no member.
    bool m_members_cut = false;
  };

  FaultyFleet(const ReplacementModelOptions& options, const Remains& remains)
      : m_model(options),
        m_remains(remains),
        m_sync(options.m_sync_replicas > 0) {}

  // Runs faults, then waits for the end of the replacement. Returns what went
  // wrong, or an empty string.
  std::string Run() {
    ApplyRemains();
    m_model.Run(4s);
    const Time end = m_model.now() + Between(6s, 16s);
    while (m_model.now() < end) {
      Disturb(end);
      m_model.Run(Between(50ms, 1200ms));
    }
    EndFaults();
    return Outcome();
  }

  int promotions() const { return m_model.promotions(); }
  Duration longest() const { return m_longest; }

 private:
  double Random() { return m_model.Random(); }
  std::size_t Any(std::size_t count) {
    return static_cast<std::size_t>(Random() * static_cast<double>(count));
  }
  Duration Between(Duration from, Duration to) {
    return from + std::chrono::duration_cast<Duration>((to - from) * Random());
  }

  void ApplyRemains() {
    for (std::size_t a = 0; a < m_model.size(); ++a) {
      for (std::size_t b = 0; b < m_model.size(); ++b) {
        m_kept_deaf.push_back(a != b && Random() < m_remains.m_deaf);
        m_model.m_deaf[a][b] = m_kept_deaf.back();
      }
    }
  }

  // Begins one fault, which ends by itself.
  void Disturb(Time end) {
    const std::size_t at = Any(m_model.size());
    const Duration time = Between(200ms, 6s);
    switch (Any(13)) {
      case 0:
      case 1: {
        const MemberId leader = m_model.leader();
        m_model.SetUp(leader, false);
        After(time, [this, leader] { m_model.SetUp(leader, true); });
        return;
      }
      case 2:
        m_model.Kill(at);
        m_model.After(time, [this, at] { m_model.Start(at); });
        return;
      case 3:
        m_model.Stop(at);
        m_model.After(time + 2400ms, [this, at] { m_model.Start(at); });
        return;
      case 4:
        SetPath(at, StorePath::kRefused, time);
        return;
      case 5:
        SetPath(at, StorePath::kCut, time);
        return;
      case 6:
        for (std::size_t each = 0; each < m_model.size(); ++each) {
          SetPath(each, StorePath::kRefused, time);
        }
        return;
      case 7:
      case 8: {
        const std::size_t from = Any(m_model.size());
        m_model.Trace("deaf " + std::to_string(at) + " to " +
                      std::to_string(from));
        m_model.m_deaf[at][from] = true;
        m_model.After(time, [this, at, from] {
          m_model.m_deaf[at][from] = m_kept_deaf[at * m_model.size() + from];
        });
        return;
      }
      case 9:
        m_model.m_report_delay = Between(5ms, 1500ms);
        m_model.m_report_loss = Random() * 0.5;
        m_model.After(time, [this] { ResetReports(); });
        return;
      case 10:
        m_model.m_call_delay = Between(10ms, 700ms);
        m_model.m_answer_loss = Random() * 0.5;
        m_model.After(time, [this] { ResetCalls(); });
        return;
      case 11:
        if (Random() < 0.3 && m_model.now() + kSurveyTime < end) {
          m_model.Trace("restore");
          m_model.m_store.Restore(Any(6));
          return;
        }
        m_model.m_members_cut[at] = true;
        After(time, [this, at] { m_model.m_members_cut[at] = false; });
        return;
      case 12:
        m_model.m_is_leader_leaving = true;
        m_model.After(time, [this] { m_model.m_is_leader_leaving = false; });
        return;
    }
  }

  // Ends a fault after a while, unless all faults have ended before.
  void After(Duration time, const std::function<void()>& action) {
    m_model.After(time, [this, action] {
      if (!m_ended) {
        action();
      }
    });
  }

  void SetPath(std::size_t at, StorePath path, Duration time) {
    m_model.Trace("path " + std::to_string(at) + " " +
                  std::to_string(static_cast<int>(path)));
    m_model.m_store_paths[at] = path;
    m_model.After(time,
                  [this, at] { m_model.m_store_paths[at] = StorePath::kOpen; });
  }

  void ResetReports() {
    m_model.m_report_delay = 5ms;
    m_model.m_report_loss = 0;
  }

  void ResetCalls() {
    m_model.m_call_delay = 10ms;
    m_model.m_answer_loss = 0;
  }

  // Ends all faults but one: the leader has failed. It may as well be up where
  // a replacement is in progress. It must be up where it is not the recorded
  // primary of a group with synchronous replicas, because no other member may
  // be promoted without its position then.
  void EndFaults() {
    m_model.Trace("last fault");
    ResetReports();
    ResetCalls();
    m_model.m_is_leader_leaving = false;
    const bool in_progress = m_model.Record().m_intent.has_value();
    const bool up = (in_progress && Random() < 0.5) ||
                    (m_sync && !m_model.IsLeaderRecorded());
    for (const MemberId& member : m_model.members()) {
      m_model.SetUp(member, up || member != m_model.leader());
    }
    for (std::size_t at = 0; at < m_model.size(); ++at) {
      m_model.m_store_paths[at] = StorePath::kOpen;
      m_model.m_members_cut[at] = IsCutFromMembers(at);
      for (std::size_t from = 0; from < m_model.size(); ++from) {
        m_model.m_deaf[at][from] = m_kept_deaf[at * m_model.size() + from];
      }
    }
    m_ended = true;
  }

  bool IsCutFromMembers(std::size_t at) const {
    return m_remains.m_members_cut && at + 1 < m_model.size();
  }

  std::string Outcome() {
    // Instances that stop or start are a fault until they have done so.
    m_model.Run(2500ms);
    for (std::size_t at = 0; at < m_model.size(); ++at) {
      m_model.Start(at);
    }
    const Time begin = m_model.now();
    const Duration bound =
        ReplacementCoordinator::kReplacementBound + kNoticeTime;
    while (!m_model.HasEnded() && m_model.now() - begin < 2 * bound) {
      m_model.Run(10ms);
    }
    m_longest = m_model.now() - begin;
    if (!m_model.violations().empty()) {
      return m_model.violations().front();
    }
    if (m_longest > bound) {
      return "no end within the bound: " + Milliseconds(m_longest);
    }
    m_model.Run(kSpreadTime);
    if (m_remains.m_deaf == 0) {
      m_model.Run(kForgetTime);
      if (const auto wrong = m_model.FindWrongJudgement()) {
        return *wrong;
      }
    }
    if (m_remains.m_deaf == 0 && !m_model.AllUseLeader()) {
      return "an instance does not use the new primary";
    }
    return m_model.violations().empty() ? "" : m_model.violations().front();
  }

  static std::string Milliseconds(Duration duration) {
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                   .count()) +
           " ms";
  }

  ReplacementModel m_model;
  const Remains m_remains;
  const bool m_sync;
  // Whether the first instance of each pair never hears the second one.
  std::vector<bool> m_kept_deaf;
  bool m_ended = false;
  Duration m_longest{0};
};

// Explores the protocol of replacement under random faults. The environment
// variables JASMINELUG_MODEL_SEEDS and JASMINELUG_MODEL_FIRST_SEED set the
// number of seeds and the first one; JASMINELUG_MODEL_TRACE prints the events.
class ReplacementModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacementModelTest);
  CPPUNIT_TEST(SmallFleets);
  CPPUNIT_TEST(FleetsThatDoNotHearEachOther);
  CPPUNIT_TEST(FleetsOfSeveralCells);
  CPPUNIT_TEST(FleetsOfSeveralRegions);
  CPPUNIT_TEST(SeedsThatFailedBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleets() {
    Explore(100, [](unsigned seed, ReplacementModelOptions* options) {
      options->m_size = 3 + seed % 3;
      return FaultyFleet::Remains();
    });
  }

  // Only the store is reached by all after the last fault.
  void FleetsThatDoNotHearEachOther() {
    Explore(100, [](unsigned seed, ReplacementModelOptions* options) {
      options->m_size = 3 + seed % 3;
      return FaultyFleet::Remains{seed % 2 == 0 ? 1.0 : 0.5, false};
    });
  }

  void FleetsOfSeveralCells() { Explore(10, SeveralCells); }

  // Few reports cross the link between the regions.
  void FleetsOfSeveralRegions() {
    Explore(10, [](unsigned seed, ReplacementModelOptions* options) {
      options->m_regions = Regions({{ZoneName("zone0"), RegionName("east")},
                                    {ZoneName("zone1"), RegionName("east")},
                                    {ZoneName("zone2"), RegionName("west")}});
      return SeveralCells(seed, options);
    });
  }

  // 11440: a restarted instance received an update that answered a request of
  // its earlier run.
  void SeedsThatFailedBefore() {
    for (const unsigned seed : {11440U}) {
      CPPUNIT_ASSERT_EQUAL(std::string(), Play(seed, SeveralCells).m_failure);
    }
  }

 private:
  using Setting =
      std::function<FaultyFleet::Remains(unsigned seed,
                                         ReplacementModelOptions* options)>;

  struct PlayResult {
    std::string m_failure;
    int m_promotions = 0;
    Duration m_longest{0};
  };

  static FaultyFleet::Remains SeveralCells(unsigned,
                                           ReplacementModelOptions* options) {
    options->m_size = 18;
    options->m_zones = 3;
    return {};
  }

  static PlayResult Play(unsigned seed, const Setting& setting) {
    ReplacementModelOptions options;
    options.m_seed = seed;
    options.m_sync_replicas = seed % 4 == 0 ? 1 : 0;
    options.m_trace = std::getenv("JASMINELUG_MODEL_TRACE") != nullptr;
    const FaultyFleet::Remains remains = setting(seed, &options);
    FaultyFleet fleet(options, remains);
    PlayResult result;
    result.m_failure = fleet.Run();
    result.m_promotions = fleet.promotions();
    result.m_longest = fleet.longest();
    return result;
  }

  static void Explore(unsigned seeds, const Setting& setting) {
    const unsigned first = NumberFrom("JASMINELUG_MODEL_FIRST_SEED", 1);
    const unsigned count = NumberFrom("JASMINELUG_MODEL_SEEDS", seeds);
    std::string failures;
    int promotions = 0;
    Duration longest{0};
    for (unsigned seed = first; seed < first + count; ++seed) {
      const PlayResult result = Play(seed, setting);
      promotions += result.m_promotions;
      longest = std::max(longest, result.m_longest);
      if (!result.m_failure.empty()) {
        failures += "\nseed " + std::to_string(seed) + ": " + result.m_failure;
      }
    }
    std::cerr << count << " seeds, " << promotions
              << " promotions sent, longest end of a replacement "
              << std::chrono::duration_cast<std::chrono::milliseconds>(longest)
                     .count()
              << " ms\n";
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacementModelTest);

}  // namespace
}  // namespace jasminelug::gateway
