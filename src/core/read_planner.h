#ifndef SRC_CORE_READ_PLANNER_H_
#define SRC_CORE_READ_PLANNER_H_

#include <functional>
#include <map>
#include <optional>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/group_view.h"
#include "src/core/ids.h"
#include "src/core/log_position.h"
#include "src/core/session_token.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The requirements of a read on the data that it sees.
struct ReadRequirements {
  // The position that must be visible, so that a session sees its own writes.
  LogPosition m_position;
  // Maximum age of the data; any age is accepted if it is not set.
  std::optional<Duration> m_max_age;
  // Whether every acknowledged write must be visible. The read then needs a
  // primary whose term is confirmed by a majority.
  bool m_must_be_current = false;

  friend bool operator==(const ReadRequirements&,
                         const ReadRequirements&) = default;
};

// The member chosen for a read.
struct ReadPlan {
  // The replica to use; nullopt means the primary.
  std::optional<MemberId> m_replica;
  // Estimated time until the replica has applied the required position.
  Duration m_wait{};

  friend bool operator==(const ReadPlan&, const ReadPlan&) = default;
};

// Chooses replicas for reads of one database, by lag, zone and load.
class ReadPlanner {
 public:
  struct Hooks {
    // Returns the fraction of new work that a zone may get, from 0 to 1.
    std::function<double(const ZoneName&, const Context&)> m_work_fraction;
    // Returns the number of reads at this instance that wait for the member.
    std::function<size_t(const DatabaseName&, const MemberId&)> m_load;
    // Returns whether this instance has a connection to the member.
    std::function<bool(const DatabaseName&, const MemberId&)> m_has_connection;
  };

  ReadPlanner(ZoneName own_zone, const Hooks* hooks)
      : m_own_zone(std::move(own_zone)), m_hooks(hooks) {}

  // Chooses the member for a read. The planned wait is at most
  // kMaxCatchUpWait.
  ReadPlan Plan(const GroupView& view,
                const ReadRequirements& requirements,
                Context& context);

  // Returns whether the data of a read that was sent to `member` at `sent` and
  // answered with `position` at `now` meets `requirements`.
  static bool AreMet(const ReadRequirements& requirements,
                     const MemberView& member,
                     const LogPosition& position,
                     Time sent,
                     Time now);

  // Records that the log had reached `index` at `now`.
  void OnWritten(uint64_t index, Time now);

  // Records that a replica had applied the log up to `index` at `now`.
  void OnApplied(const MemberId& member, uint64_t index, Time now);

 private:
  // The time at which the log was first known to have reached an index.
  struct Growth {
    uint64_t m_index = 0;
    Time m_time;
  };

  // Returns the estimated time until `member` has applied `index`; nullopt if
  // there are no observations to estimate it from.
  std::optional<Duration> CatchUpTime(const MemberView& member,
                                      uint64_t index,
                                      Time now) const;
  // Returns when the log reached `index`, or nullopt if that is not known.
  std::optional<Time> TimeOf(uint64_t index) const;
  static bool IsRecentEnough(const MemberView& member,
                             Duration max_age,
                             Time now);

  ZoneName m_own_zone;
  const Hooks* m_hooks;
  // The log's recent growth, oldest first.
  std::vector<Growth> m_growth;
  // For each replica, the smoothed time between the growth of the log and the
  // application of the new entries.
  std::map<MemberId, Duration> m_lag;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_READ_PLANNER_H_
