#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jasminelug/gateway.h"

namespace jasminelug::gateway {
namespace {

constexpr StoreKind kKind = StoreKind::kEvacuations;
constexpr Duration kTick = 20ms;

StoreObject Decode(StoreKind, const std::string& encoded, StoreEpoch epoch) {
  const std::size_t at = encoded.find('@');
  if (at == std::string::npos) {
    return {};
  }
  StoreObject object;
  object.m_name = encoded.substr(0, at);
  object.m_revision = Revision(epoch, std::stoull(encoded.substr(at + 1)));
  object.m_value = EvacuatedZone{ZoneName(object.m_name)};
  object.m_encoded = encoded;
  return object;
}

StoreObject MakeObject(const std::string& name, std::uint64_t revision) {
  return Decode(kKind, name + "@" + std::to_string(revision), StoreEpoch());
}

// The objects of one kind in the store, with the history of their changes.
class Store {
 public:
  void Put(const std::string& name) {
    m_revision += 1;
    m_objects[name] = MakeObject(name, m_revision);
    m_history.push_back({m_revision, {false, m_objects[name]}});
  }

  void Remove(const std::string& name) {
    m_revision += 1;
    m_objects.erase(name);
    m_history.push_back({m_revision, {true, MakeObject(name, m_revision)}});
  }

  // Counts a change of an object of another kind.
  void ChangeOtherKind() { m_revision += 1; }

  StorePage List() const {
    StorePage page;
    for (const auto& [name, object] : m_objects) {
      page.m_objects.push_back(object);
    }
    page.m_revision = Revision(m_revision);
    return page;
  }

  StoreChanges ChangesSince(Revision since) const {
    StoreChanges changes;
    for (const Entry& entry : m_history) {
      if (entry.m_revision > since.value()) {
        changes.m_changes.push_back(entry.m_change);
      }
    }
    changes.m_revision = Revision(m_revision);
    return changes;
  }

  const StoreObjects& objects() const { return m_objects; }

 private:
  struct Entry {
    std::uint64_t m_revision;
    StoreChange m_change;
  };

  StoreObjects m_objects;
  std::vector<Entry> m_history;
  std::uint64_t m_revision = 10;
};

// What the network does to a message between two instances.
struct Fault {
  bool m_lost = false;
  Duration m_delay{1ms};
};

// A fleet on a virtual clock. Its instances follow the store or take their
// copies from each other, as the gateway's do.
class Fleet {
 public:
  using Network = std::function<Fault(std::size_t from, std::size_t to)>;

  Fleet(std::size_t size, unsigned seed) : m_random(seed) {
    m_network = [](std::size_t, std::size_t) { return Fault(); };
    m_refused.resize(size, false);
    m_frozen.resize(size, false);
    for (std::size_t i = 0; i < size; ++i) {
      m_instances.push_back(std::make_unique<Instance>());
      Connect(i);
    }
  }

  void Run(Duration duration) {
    const Time end = m_now + duration;
    while (m_now < end) {
      m_now += kTick;
      Deliver();
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (!m_frozen[i]) {
          Tick(i);
        }
      }
    }
  }

  // Starts an instance again, with nothing in memory.
  void Restart(std::size_t index) {
    m_instances[index] = std::make_unique<Instance>();
    Connect(index);
    m_instances[index]->m_follower->Refresh(m_now);
  }

  StoreFollower& CopyOf(std::size_t index) {
    return *m_instances[index]->m_follower;
  }
  int calls() const { return m_calls; }

  bool HasCurrentCopy(std::size_t index) {
    return CopyOf(index).objects() == m_store.objects();
  }

  Store m_store;
  Network m_network;
  // Instances that the store refuses, and those that stand still.
  std::vector<bool> m_refused;
  std::vector<bool> m_frozen;
  Time m_now = Time(100s);

 private:
  struct Instance {
    std::unique_ptr<StoreFollower> m_follower;
    std::unique_ptr<StateRelay> m_relay;
    std::unique_ptr<FollowerElection> m_election;
    Revision m_newest;
    // Time of the last contact, and when others were heard from.
    Time m_contact;
    std::map<std::size_t, Time> m_heard;
    Time m_last_report;
    std::optional<Time> m_watch_ends;
    Revision m_watch_since;
  };

  struct Message {
    Time m_arrival;
    std::size_t m_to;
    std::function<void()> m_handle;
  };

  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void Connect(std::size_t index) {
    Instance& self = *m_instances[index];
    Instance* instance = &self;
    StoreFollower::Hooks hooks;
    hooks.m_list = [this, index](const std::string&) { List(index); };
    hooks.m_watch = [this, instance](Revision since, Duration wait) {
      m_calls += 1;
      instance->m_watch_since = since;
      instance->m_watch_ends = m_now + wait;
    };
    hooks.m_abandon = [instance] { instance->m_watch_ends.reset(); };
    hooks.m_changed = [instance](const StoreObjects&) {
      // A copy must never go back.
      CPPUNIT_ASSERT(instance->m_follower->changed() >= instance->m_newest);
      instance->m_newest = instance->m_follower->changed();
    };
    hooks.m_verified = [this, instance](Time sent) {
      instance->m_contact = std::max(instance->m_contact, sent);
      instance->m_election->OnVerified(m_now);
    };
    hooks.m_lost = [](const std::string&) {};
    hooks.m_regained = [] {};
    hooks.m_random = [this] { return Random(); };
    StoreFollowerOptions options;
    options.m_watch_wait = 500ms;
    self.m_follower = std::make_unique<StoreFollower>(options, hooks);
    self.m_follower->SetFollowing(false, m_now);
    self.m_contact = m_now;
    self.m_relay = std::make_unique<StateRelay>(
        StateRelay::Hooks{[this, index](const InstanceId& peer, StoreKind) {
                            Request(index, std::stoul(peer.str()));
                          },
                          [this] { return Random(); }});
    self.m_relay->SetFleetSize(static_cast<int>(m_instances.size()));
    self.m_election =
        std::make_unique<FollowerElection>(FollowerElection::Hooks{
            [this, instance] { instance->m_follower->Refresh(m_now); },
            [this] { return Random(); }});
  }

  void List(std::size_t index) {
    m_calls += 1;
    StoreFollower& copy = CopyOf(index);
    if (m_refused[index]) {
      copy.OnPage(StoreError{StoreErrorKind::kRefused, "503"}, m_now);
    } else {
      copy.OnPage(m_store.List(), m_now);
    }
  }

  void Send(std::size_t from, std::size_t to, std::function<void()> handle) {
    const Fault fault = m_network(from, to);
    if (!fault.m_lost) {
      m_messages.push_back({m_now + fault.m_delay, to, std::move(handle)});
    }
  }

  void Deliver() {
    std::deque<Message> due;
    std::deque<Message> later;
    for (Message& message : m_messages) {
      const bool waits = message.m_arrival > m_now || m_frozen[message.m_to];
      (waits ? later : due).push_back(std::move(message));
    }
    m_messages = std::move(later);
    for (const Message& message : due) {
      message.m_handle();
    }
  }

  void Request(std::size_t from, std::size_t to) {
    StoreFollower& own = CopyOf(from);
    const StateRequest request =
        MakeStateRequest(kKind, own.objects(), own.changed());
    Send(from, to, [this, from, to, request] {
      StoreFollower& copy = CopyOf(to);
      if (!copy.is_listed()) {
        return;
      }
      const StateUpdate update = MakeStateUpdate(request, copy.objects(),
                                                 copy.changed(), std::nullopt);
      Send(to, from, [this, from, to, update] { Apply(from, to, update); });
    });
  }

  void Apply(std::size_t index, std::size_t from, const StateUpdate& update) {
    StoreFollower& copy = CopyOf(index);
    m_instances[index]->m_relay->TakeRequest(InstanceId(std::to_string(from)),
                                             kKind);
    if (copy.is_listed() && copy.changed() != update.m_base) {
      return;
    }
    const auto objects = ApplyStateUpdate(copy.objects(), update, Decode);
    CPPUNIT_ASSERT(objects.has_value());
    copy.Adopt(*objects, update.m_changed);
  }

  void Report(std::size_t index) {
    Instance& self = *m_instances[index];
    self.m_last_report = m_now;
    const StoreFollower& copy = *self.m_follower;
    if (!copy.is_listed()) {
      return;
    }
    const CopyRevision revision{kKind, copy.changed(), copy.complete()};
    const Time contact = self.m_contact;
    for (std::size_t to = 0; to < m_instances.size(); ++to) {
      if (to != index) {
        Send(index, to, [this, index, to, revision, contact] {
          OnReport(to, index, revision, contact);
        });
      }
    }
  }

  void OnReport(std::size_t index,
                std::size_t sender,
                const CopyRevision& revision,
                Time contact) {
    Instance& self = *m_instances[index];
    self.m_heard[sender] = m_now;
    self.m_relay->OnReport(InstanceId(std::to_string(sender)), {revision},
                           m_now);
    self.m_follower->Confirm(revision.m_changed, revision.m_complete);
    if (revision.m_changed == self.m_follower->changed()) {
      self.m_contact = std::max(self.m_contact, contact);
    }
  }

  void Tick(std::size_t index) {
    Instance& self = *m_instances[index];
    AnswerWatch(index);
    self.m_follower->OnTick(m_now);
    FollowerCandidate candidate;
    for (const auto& [peer, heard] : self.m_heard) {
      const bool live = m_now - heard < PeerView::kReportMaxAge;
      candidate.m_live_count += live ? 1 : 0;
      candidate.m_rank += live && peer < index ? 1 : 0;
    }
    candidate.m_contact_age = m_now - self.m_contact;
    self.m_election->OnTick(candidate, m_now);
    self.m_follower->SetFollowing(self.m_election->follows(m_now), m_now);
    self.m_relay->Update(kKind, self.m_follower->complete(), m_now);
    if (self.m_relay->TakeOverdue(kKind, m_now)) {
      self.m_follower->Refresh(m_now);
    }
    if (m_now - self.m_last_report >= 200ms) {
      Report(index);
    }
  }

  void AnswerWatch(std::size_t index) {
    Instance& self = *m_instances[index];
    if (!self.m_watch_ends) {
      return;
    }
    if (m_refused[index]) {
      self.m_watch_ends.reset();
      self.m_follower->OnChanges(StoreError{StoreErrorKind::kRefused, "503"},
                                 m_now);
      return;
    }
    const StoreChanges changes = m_store.ChangesSince(self.m_watch_since);
    if (!changes.m_changes.empty() || m_now >= *self.m_watch_ends) {
      self.m_watch_ends.reset();
      self.m_follower->OnChanges(changes, m_now);
    }
  }

  std::mt19937 m_random;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::deque<Message> m_messages;
  int m_calls = 0;
};

class RelayedCopiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedCopiesTest);
  CPPUNIT_TEST(OneInstanceCallsForAll);
  CPPUNIT_TEST(CopiesFollowUnderFaults);
  CPPUNIT_TEST(LateUpdatesAreIgnored);
  CPPUNIT_TEST(RefusedInstancesGetCopiesFromOthers);
  CPPUNIT_TEST(AnOutageCostsFewCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  static unsigned NewSeed() { return std::random_device()(); }

  // 40 instances, of which one follows the store.
  void OneInstanceCallsForAll() {
    Fleet fleet(40, 1);
    fleet.Run(5s);
    const int before = fleet.calls();
    for (int i = 0; i < 10; ++i) {
      fleet.m_store.Put("zone" + std::to_string(i % 3));
      fleet.m_store.ChangeOtherKind();
      fleet.Run(1s);
      for (std::size_t at = 0; at < 40; ++at) {
        CPPUNIT_ASSERT(fleet.HasCurrentCopy(at));
      }
    }
    // One watch ends every 0.5 s, and one more for each change.
    CPPUNIT_ASSERT(fleet.calls() - before <= 20 + 10 + 2);
  }

  // Whatever happens to the instances and to the network between them, no copy
  // goes back (see Fleet), and all are current soon after it has ended.
  void CopiesFollowUnderFaults() {
    for (int round = 0; round < 60; ++round) {
      const unsigned seed = NewSeed();
      std::mt19937 random(seed);
      const std::size_t size = 2 + random() % 9;
      Fleet fleet(size, seed);
      fleet.Run(2s);
      const std::size_t victim = random() % size;
      const std::size_t other = random() % size;
      const unsigned kind = random() % 7;
      fleet.m_network = [&](std::size_t from, std::size_t to) {
        Fault fault;
        const bool touched = from == victim || to == victim;
        fault.m_lost = (kind == 0 && from == victim) ||
                       (kind == 1 && to == victim) ||
                       (kind == 2 && random() % 3 == 0);
        if (kind == 3 && touched) {
          fault.m_delay = Duration(1ms) * static_cast<int>(random() % 1500);
        }
        return fault;
      };
      fleet.m_frozen[victim] = kind == 4;
      fleet.m_refused[victim] = kind == 5;
      fleet.m_refused[other] = kind == 5;
      for (int step = 0; step < 30; ++step) {
        const std::string name = "zone" + std::to_string(random() % 6);
        if (random() % 3 == 0) {
          fleet.m_store.Remove(name);
        } else {
          fleet.m_store.Put(name);
        }
        if (kind == 6 && random() % 4 == 0) {
          fleet.Restart(random() % size);
        }
        fleet.Run(Duration(1ms) * static_cast<int>(random() % 400));
      }
      fleet.m_network = [](std::size_t, std::size_t) { return Fault(); };
      fleet.m_frozen.assign(size, false);
      fleet.m_refused.assign(size, false);
      fleet.Run(6s);
      for (std::size_t at = 0; at < size; ++at) {
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", fault " +
                                   std::to_string(kind) + ", instance " +
                                   std::to_string(at),
                               fleet.HasCurrentCopy(at));
      }
    }
  }

  // An update that a peer has sent before the own copy changed must not be
  // applied to the newer copy.
  void LateUpdatesAreIgnored() {
    Fleet fleet(3, 1);
    fleet.Run(2s);
    fleet.m_store.Put("a");
    fleet.Run(2s);
    StoreFollower& copy = fleet.CopyOf(2);
    const StoreObjects old_objects = copy.objects();
    const Revision old_changed = copy.changed();
    fleet.m_store.Remove("a");
    fleet.Run(2s);
    CPPUNIT_ASSERT(copy.objects().empty());
    copy.Adopt(old_objects, old_changed);
    CPPUNIT_ASSERT(copy.objects().empty());
    // Neither does an old confirmation count for the newer copy.
    const Revision complete = copy.complete();
    copy.Confirm(old_changed, Revision(complete.value() + 100));
    CPPUNIT_ASSERT(complete == copy.complete());
  }

  // The store refuses some instances, the first of them included, while it
  // serves the others.
  void RefusedInstancesGetCopiesFromOthers() {
    Fleet fleet(12, 1);
    fleet.Run(3s);
    for (const std::size_t refused : {0, 1, 5, 7}) {
      fleet.m_refused[refused] = true;
    }
    fleet.Run(4s);
    for (int i = 0; i < 8; ++i) {
      fleet.m_store.Put("zone" + std::to_string(i));
      fleet.Run(1500ms);
      for (std::size_t at = 0; at < 12; ++at) {
        CPPUNIT_ASSERT(fleet.HasCurrentCopy(at));
      }
    }
  }

  // The store refuses everyone for 10 s. Each refused call costs as much as
  // another, so the number of calls must not grow with the fleet.
  void AnOutageCostsFewCalls() {
    for (const std::size_t size : {std::size_t{6}, std::size_t{60}}) {
      Fleet fleet(size, 1);
      fleet.Run(3s);
      fleet.m_refused.assign(size, true);
      const int before = fleet.calls();
      fleet.Run(10s);
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(fleet.calls() - before),
          fleet.calls() - before < 40 + static_cast<int>(size));
      fleet.m_refused.assign(size, false);
      fleet.m_store.Put("zone");
      fleet.Run(2s);
      for (std::size_t at = 0; at < size; ++at) {
        CPPUNIT_ASSERT(fleet.HasCurrentCopy(at));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedCopiesTest);

}  // namespace
}  // namespace jasminelug::gateway
