#ifndef SRC_GATEWAY_COPY_BOOTSTRAP_H_
#define SRC_GATEWAY_COPY_BOOTSTRAP_H_

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Decides how a starting instance gets its first copy of the store's objects:
// from another instance, or by listing them.
//
// Serves the start of a whole fleet within a fraction of a second, after which
// nobody has a copy, as well as the restart of one instance among others that
// have one. The instance asks a few neighbours. One that has no copy yet
// answers as soon as it has one. If none answers, the first instance of the
// cell lists the objects after kFirstListDelay; the others wait longer, for a
// random time that grows with the size of the cell, so that few of them list.
// While no neighbour is known, because all instances register at the same time,
// the neighbours are read again a few times before the objects are listed. An
// instance that is asked then reads them at once: it may be the first one, for
// which the others wait.
// While lists fail, the whole cell makes about one call per
// FollowerElection::kCallInterval.
class CopyBootstrap {
 public:
  // Number of neighbours that are asked: the first of the cell, and others
  // chosen at random.
  static constexpr std::size_t kAskedNeighbours = 3;
  static constexpr Duration kFirstListDelay = 40ms;
  static constexpr Duration kOtherListDelay = 200ms;
  // Added for each known instance of the cell, times a random number.
  static constexpr Duration kListDelayPerInstance = 25ms;
  static constexpr Duration kMaxListDelay = 1200ms;
  // Number of times for which the neighbours are read again while none is
  // known.
  static constexpr int kNeighbourReads = 2;
  // Size that is assumed for the cell while no instance of it is known.
  static constexpr int kUnknownCellSize = 24;

  struct Hooks {
    // Requests the copy of another instance.
    std::function<void(const InstanceId& neighbour)> m_ask;
    // Reads the registered instances, cheaply, for OnNeighbours().
    std::function<void()> m_read_neighbours;
    // Lists the objects from the store. Called again, after a delay, until
    // Finish().
    std::function<void()> m_list;
    // Returns a random number in [0, 1).
    std::function<double()> m_random;
  };

  CopyBootstrap(InstanceId self, ZoneName zone, Hooks hooks);

  void Start(Time now);

  // Handles the registered instances. The list may be outdated: it may lack
  // instances and contain some that have stopped.
  void OnNeighbours(const std::vector<InstanceEntry>& entries, Time now);

  // Handles the request of another instance for a copy that this one does not
  // have yet. Such requests cause at most one read of the neighbours.
  void OnAsked(Time now);

  // Handles the report of another instance, which shows that it has a copy.
  void OnCopyHolder(const InstanceId& holder);

  // Ends the bootstrap: the instance has a copy of all kinds.
  void Finish() { m_finished = true; }

  void OnTick(Time now);

  bool is_finished() const { return m_finished; }

 private:
  bool MayReadNeighbours() const;
  void ReadNeighbours(Time now);
  void Ask(const InstanceId& neighbour);
  void AskAtRandom(std::vector<InstanceEntry> neighbours, std::size_t count);
  void ScheduleList(bool first, Time now);

  const InstanceId m_self;
  const ZoneName m_zone;
  const Hooks m_hooks;
  int m_cell_size = kUnknownCellSize;
  // Whether the first read of the neighbours was answered, and whether one has
  // named any.
  bool m_has_read_neighbours = false;
  bool m_knows_neighbours = false;
  int m_neighbour_reads = 0;
  Time m_list_at;
  std::set<InstanceId> m_asked;
  bool m_finished = false;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_COPY_BOOTSTRAP_H_
