#include "src/gateway/copy_bootstrap.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jasminelug::gateway {
namespace {

InstanceEntry Entry(std::size_t index) {
  InstanceEntry entry;
  entry.m_id = InstanceId("i" + std::to_string(1000 + index));
  entry.m_zone = ZoneName("north");
  return entry;
}

// Instances of one cell that start. A request and its answer take
// kRequestTime each way, a list takes kListTime.
class Cell {
 public:
  static constexpr Duration kRequestTime = 2ms;
  static constexpr Duration kListTime = 8ms;
  // Number of kinds of objects, each of which is requested by itself.
  static constexpr int kKinds = 5;

  Cell(std::size_t size, unsigned seed) : m_random(seed) {
    m_copy_at.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
      m_entries.push_back(Entry(i));
    }
    for (std::size_t i = 0; i < size; ++i) {
      CopyBootstrap::Hooks hooks;
      hooks.m_ask = [this, i](const InstanceId& neighbour) {
        m_asked.push_back({i, neighbour});
        for (int kind = 0; kind < kKinds; ++kind) {
          m_requests.push_back({m_now + kRequestTime, neighbour});
        }
      };
      hooks.m_read_neighbours = [this, i] {
        m_reads.push_back({m_now + kListTime, i, m_registered});
      };
      hooks.m_list = [this, i] {
        m_lists += 1;
        SetCopyAt(i, m_now + kListTime);
      };
      hooks.m_random = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
      };
      m_bootstraps.push_back(std::make_unique<CopyBootstrap>(
          m_entries[i].m_id, m_entries[i].m_zone, hooks));
    }
  }

  void SetCopyAt(std::size_t index, Time time) {
    if (!m_copy_at[index] || time < *m_copy_at[index]) {
      m_copy_at[index] = time;
    }
  }

  // Starts an instance, which learns of the instances in `known`.
  void Start(std::size_t index, const std::vector<InstanceEntry>& known) {
    m_started.insert(index);
    m_bootstraps[index]->Start(m_now);
    m_bootstraps[index]->OnNeighbours(known, m_now);
  }

  void Run(Duration duration) {
    for (const Time end = m_now + duration; m_now < end; m_now += 1ms) {
      DeliverReads();
      DeliverRequests();
      for (const Asked& asked : m_asked) {
        Answer(asked);
      }
      for (const std::size_t i : m_started) {
        if (m_copy_at[i] && m_now >= *m_copy_at[i]) {
          m_bootstraps[i]->Finish();
        }
        m_bootstraps[i]->OnTick(m_now);
      }
    }
  }

  bool AllHaveCopies() const {
    for (const std::size_t index : m_started) {
      if (!m_bootstraps[index]->is_finished()) {
        return false;
      }
    }
    return true;
  }

  std::mt19937 m_random;
  Time m_now = Time(100s);
  std::vector<InstanceEntry> m_entries;
  // Entries that the store holds.
  std::vector<InstanceEntry> m_registered;
  int m_lists = 0;

 private:
  struct Asked {
    std::size_t m_by;
    InstanceId m_neighbour;
  };

  struct CopyRequest {
    Time m_arrives;
    InstanceId m_neighbour;
  };

  struct NeighbourRead {
    Time m_arrives;
    std::size_t m_reader;
    std::vector<InstanceEntry> m_entries;
  };

  void DeliverReads() {
    while (!m_reads.empty() && m_reads.front().m_arrives <= m_now) {
      const NeighbourRead read = m_reads.front();
      m_reads.pop_front();
      m_bootstraps[read.m_reader]->OnNeighbours(read.m_entries, m_now);
    }
  }

  // Tells instances without a copy that they were asked for one.
  void DeliverRequests() {
    while (!m_requests.empty() && m_requests.front().m_arrives <= m_now) {
      const InstanceId neighbour = m_requests.front().m_neighbour;
      m_requests.pop_front();
      for (const std::size_t i : m_started) {
        const bool has_copy = m_copy_at[i] && m_now >= *m_copy_at[i];
        if (m_entries[i].m_id == neighbour && !has_copy) {
          m_bootstraps[i]->OnAsked(m_now);
        }
      }
    }
  }

  // An instance that was asked answers as soon as it has a copy.
  void Answer(const Asked& asked) {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      const bool has_copy = m_copy_at[i] && m_now >= *m_copy_at[i];
      if (m_entries[i].m_id == asked.m_neighbour && has_copy) {
        SetCopyAt(asked.m_by, m_now + 2 * kRequestTime);
      }
    }
  }

  std::vector<std::unique_ptr<CopyBootstrap>> m_bootstraps;
  std::set<std::size_t> m_started;
  std::vector<std::optional<Time>> m_copy_at;
  std::vector<Asked> m_asked;
  std::deque<CopyRequest> m_requests;
  std::deque<NeighbourRead> m_reads;
};

class CopyBootstrapTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CopyBootstrapTest);
  CPPUNIT_TEST(RestartedInstanceTakesACopyFromANeighbour);
  CPPUNIT_TEST(RestartOfAllTakesFewLists);
  CPPUNIT_TEST(FirstStartOfAllTakesFewLists);
  CPPUNIT_TEST(LostFirstInstanceDelaysOthersBriefly);
  CPPUNIT_TEST(ListsAreRepeatedSlowlyUntilOneSucceeds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RestartedInstanceTakesACopyFromANeighbour() {
    Cell cell(20, 1);
    for (std::size_t i = 0; i < 19; ++i) {
      cell.SetCopyAt(i, cell.m_now);
    }
    cell.Start(19, cell.m_entries);
    cell.Run(50ms);
    CPPUNIT_ASSERT(cell.AllHaveCopies());
    CPPUNIT_ASSERT_EQUAL(0, cell.m_lists);
  }

  // All instances of a cell restart at the same moment, and nobody has a copy.
  void RestartOfAllTakesFewLists() {
    const unsigned seed = std::random_device()();
    for (const std::size_t size : {std::size_t{7}, std::size_t{58}}) {
      Cell cell(size, seed);
      for (std::size_t i = 0; i < size; ++i) {
        cell.Start(i, cell.m_entries);
      }
      cell.Run(200ms);
      const std::string message = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(message, cell.AllHaveCopies());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 1, cell.m_lists);
    }
  }

  // All instances start for the first time, within 0.3 s. Each of them knows
  // only those that have registered before it, and the first knows none.
  void FirstStartOfAllTakesFewLists() {
    // More lists than allowed were taken with the seeds that are named.
    for (const unsigned seed : {835384983U, 830U, 1257U, 2046U, 2643U,
                                unsigned{std::random_device()()}}) {
      StartAllForTheFirstTime(seed);
    }
  }

  // The first instance of the cell, which would list first, does not come back.
  void LostFirstInstanceDelaysOthersBriefly() {
    const unsigned seed = std::random_device()();
    Cell cell(30, seed);
    for (std::size_t i = 1; i < 30; ++i) {
      cell.Start(i, cell.m_entries);
    }
    cell.Run(1200ms);
    const std::string message = "seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(message, cell.m_lists >= 1);
    CPPUNIT_ASSERT_MESSAGE(message, cell.m_lists < 30);
  }

  // The lists fail because the store is unavailable.
  void ListsAreRepeatedSlowlyUntilOneSucceeds() {
    int lists = 0;
    CopyBootstrap::Hooks hooks;
    hooks.m_ask = [](const InstanceId&) {};
    hooks.m_read_neighbours = [] {};
    hooks.m_list = [&lists] { lists += 1; };
    hooks.m_random = [] { return 0.5; };
    CopyBootstrap bootstrap(InstanceId("i1000"), ZoneName("north"), hooks);
    std::vector<InstanceEntry> entries;
    for (std::size_t i = 0; i < 10; ++i) {
      entries.push_back(Entry(i));
    }
    bootstrap.Start(Time(1s));
    bootstrap.OnNeighbours(entries, Time(1s));
    for (Time now(1s); now < Time(31s); now += 20ms) {
      bootstrap.OnTick(now);
    }
    // 10 instances together make about one call per second.
    CPPUNIT_ASSERT(lists >= 2);
    CPPUNIT_ASSERT(lists <= 4);
    bootstrap.Finish();
    bootstrap.OnTick(Time(99s));
    CPPUNIT_ASSERT(lists <= 4);
  }

 private:
  static void StartAllForTheFirstTime(unsigned seed) {
    Cell cell(58, seed);
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < 58; ++i) {
      order.push_back(i);
    }
    std::shuffle(order.begin(), order.end(), cell.m_random);
    for (const std::size_t index : order) {
      // A list that may be outdated lacks the entries of the last moments.
      cell.Start(index, {});
      cell.m_registered.push_back(cell.m_entries[index]);
      cell.Run(5ms);
    }
    cell.Run(3s);
    const std::string message = "seed " + std::to_string(seed) + ", lists " +
                                std::to_string(cell.m_lists);
    CPPUNIT_ASSERT_MESSAGE(message, cell.AllHaveCopies());
    CPPUNIT_ASSERT_MESSAGE(message, cell.m_lists <= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyBootstrapTest);

}  // namespace
}  // namespace jasminelug::gateway
