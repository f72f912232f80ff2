#include "src/core/freshness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "test/core/control_driver.h"

namespace jasminelug::core {
namespace {

using control_test::ControlDriver;

InstanceId A() {
  return InstanceId("a");
}

InstanceId B() {
  return InstanceId("b");
}

// One instance's evidence, told step by step on its own clock.
class Story {
 public:
  Story() : m_start(m_driver.GetTime()) {}

  // The platform confirmed at `at`; the installed revision is 10.
  Story& Platform(Duration at) {
    m_freshness.OnInstalled(Revision(10));
    m_freshness.OnPlatformConfirmed(m_start + at);
    return *this;
  }

  Story& Known(const InstanceId& peer) {
    m_freshness.OnPeerKnown(peer);
    return *this;
  }

  Story& Installed(uint64_t revision) {
    m_freshness.OnInstalled(Revision(revision));
    return *this;
  }

  // `peer` answered the heartbeat sent at `sent`.
  Story& Answer(const InstanceId& peer,
                Duration sent,
                std::optional<Duration> age,
                bool reachable = false,
                uint64_t revision = 10,
                uint64_t incarnation = 1) {
    Heartbeat answer;
    answer.m_platform_age = age;
    answer.m_platform_reachable = reachable;
    answer.m_revision = Revision(revision);
    m_freshness.OnPeerAnswer({peer, Incarnation(incarnation)}, m_start + sent,
                             answer);
    return *this;
  }

  Story& Refused(const InstanceId& peer, Duration sent) {
    m_freshness.OnPeerRefused(peer, m_start + sent);
    return *this;
  }

  Story& Gone(const InstanceId& peer) {
    m_freshness.OnPeerGone(peer);
    return *this;
  }

  bool FreshAt(Duration at) {
    return m_freshness.IsFresh(
        m_driver.After(m_start + at - m_driver.GetTime()));
  }

 private:
  ControlDriver m_driver;
  Time m_start;
  Freshness m_freshness;
};

struct Case {
  const char* m_name;
  void (*m_tell)(Story&);
  Duration m_at;
  bool m_fresh;
};

constexpr Case kCases[] = {
    {"nothing is known", [](Story&) {}, 0ms, false},
    {"the platform confirmed within the bound",
     [](Story& s) { s.Platform(0s); }, 2s, true},
    {"the bound is over", [](Story& s) { s.Platform(0s); }, 2001ms, false},
    {"alone, an outage proves nothing", [](Story& s) { s.Platform(0s); }, 3s,
     false},
    {"a peer that is in contact confirms",
     [](Story& s) { s.Platform(0s).Answer(A(), 5s, 500ms, true); }, 6s, true},
    {"its confirmation ages from before our heartbeat, by its clock's error "
     "too",
     [](Story& s) { s.Platform(0s).Answer(A(), 5s, 1000ms, true); }, 5990ms,
     true},
    {"and no longer",
     [](Story& s) { s.Platform(0s).Answer(A(), 5s, 1000ms, true); }, 5991ms,
     false},
    {"a peer that knows more confirms nothing",
     [](Story& s) { s.Platform(0s).Answer(A(), 5s, 100ms, true, 11); }, 5s,
     false},
    {"until what it knows is installed",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 5s, 100ms, true, 11).Installed(11);
     },
     5s, true},
    {"a peer without the platform proves the outage",
     [](Story& s) { s.Platform(0s).Answer(A(), 600s, 600s); }, 602s, true},
    {"for the bound", [](Story& s) { s.Platform(0s).Answer(A(), 600s, 600s); },
     602001ms, false},
    {"one silent peer proves nothing",
     [](Story& s) { s.Platform(0s).Known(B()).Answer(A(), 600s, 600s); }, 600s,
     false},
    {"a peer that fell silent proves nothing",
     [](Story& s) {
       s.Platform(0s).Answer(B(), 1s, 1s).Answer(A(), 600s, 600s);
     },
     600s, false},
    {"a refused connection proves that no process runs",
     [](Story& s) {
       s.Platform(0s).Known(B()).Answer(A(), 600s, 600s).Refused(B(), 600s);
     },
     601s, true},
    {"a refusal that is too old proves nothing",
     [](Story& s) {
       s.Platform(0s).Known(B()).Answer(A(), 600s, 600s).Refused(B(), 598s);
     },
     600001ms, false},
    {"all refused: the cut may be ours",
     [](Story& s) { s.Platform(0s).Known(B()).Refused(B(), 600s); }, 600s,
     false},
    {"a peer with a newer revision may know of a withdrawal",
     [](Story& s) { s.Platform(0s).Answer(A(), 600s, 600s, false, 11); }, 600s,
     false},
    {"and no more once it is installed here",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 600s, 600s, false, 11).Installed(11);
     },
     600s, true},
    {"a peer that reaches the platform is no outage",
     [](Story& s) { s.Platform(0s).Answer(A(), 600s, 600s, true); }, 600s,
     false},
    {"an answer that is minutes late counts from our sending",
     [](Story& s) { s.Platform(0s).Answer(A(), 300s, 300s); }, 600s, false},
    {"the proof of an outage stays good for the bound when it ends",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 600s, 600s).Answer(A(), 601s, 601s, true, 11);
     },
     602s, true},
    {"and no longer",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 600s, 600s).Answer(A(), 601s, 601s, true, 11);
     },
     602001ms, false},
    {"an earlier answer that arrives later changes nothing",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 600s, 600s, true).Answer(A(), 599s, 599s);
     },
     600s, false},
    {"a silent peer that comes back as the same process is believed",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 1s, 1s).Answer(A(), 600s, 600s);
     },
     600s, true},
    {"one that comes back as another process has lost what it knew",
     [](Story& s) {
       s.Platform(0s).Answer(A(), 1s, 1s).Answer(A(), 600s, 600s, false, 10, 2);
     },
     600s, false},
    {"as has one that fell silent and then refuses",
     [](Story& s) {
       s.Platform(0s)
           .Answer(B(), 1s, 1s)
           .Answer(A(), 600s, 600s)
           .Refused(B(), 600s);
     },
     600s, false},
    {"a later confirmation covers what was lost",
     [](Story& s) {
       s.Platform(0s)
           .Answer(A(), 1s, 1s)
           .Answer(A(), 600s, 600s, false, 10, 2)
           .Platform(601s)
           .Answer(A(), 610s, 9s, false, 10, 2);
     },
     611s, true},
    {"a peer that restarts within the bound is believed",
     [](Story& s) {
       s.Platform(0s)
           .Answer(A(), 598s, 598s)
           .Refused(A(), 599s)
           .Answer(A(), 600s, std::nullopt, false, 10, 2);
     },
     601s, true},
    {"a peer whose lease object is gone is not waited for",
     [](Story& s) {
       s.Platform(0s).Known(B()).Answer(A(), 600s, 600s).Gone(B());
     },
     600s, true},
    {"starting in an outage: a peer's confirmation, however old, and its "
     "answer",
     [](Story& s) { s.Installed(10).Answer(A(), 5s, 300s); }, 6s, true},
    {"starting in an outage among instances that all have started in it",
     [](Story& s) { s.Installed(10).Answer(A(), 5s, std::nullopt); }, 6s,
     false},
};

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(Cases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Cases() {
    for (const Case& row : kCases) {
      Story story;
      row.m_tell(story);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_fresh,
                                   story.FreshAt(row.m_at));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

}  // namespace
}  // namespace jasminelug::core
