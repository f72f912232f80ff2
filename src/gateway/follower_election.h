#ifndef SRC_GATEWAY_FOLLOWER_ELECTION_H_
#define SRC_GATEWAY_FOLLOWER_ELECTION_H_

#include <functional>
#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// State of this instance at one moment, as a candidate for following the store.
struct FollowerCandidate {
  friend bool operator==(const FollowerCandidate&,
                         const FollowerCandidate&) = default;

  // Position among the live candidates. See PeerView::FollowerRank().
  int m_rank = 0;
  // Number of live instances of its cell, including this one.
  int m_live_count = 1;
  // Time since the last contact that verified this instance's copy, by its own
  // call or by a peer's report; unset before the first one.
  std::optional<Duration> m_contact_age;
};

// Decides whether this instance follows the store for the fleet, and when it
// calls the store because no other instance has verified its copy.
//
// Serves a large fleet: its first live instance follows the store, and reports
// verify the copies of the others, so that the number of calls does not grow
// with the fleet. Under a partition or an outage of the store, when all
// contacts grow old at the same time, the instances call one after the other,
// in the order of their ranks or after a random delay. The first one that
// succeeds follows the store for the others. While all calls fail, each cell
// makes about one call per kCallInterval, whatever its size.
class FollowerElection {
 public:
  // An instance is the first one for this time before it follows the store,
  // because reports may merely be late.
  static constexpr Duration kSettleTime = 500ms;
  // Maximum age of the last contact, after which the instance calls the store.
  static constexpr Duration kStaleContactAge = 1600ms;
  // Delay of that call for each rank, and the number of ranks to which it is
  // added. Instances of later ranks add a random delay.
  static constexpr Duration kRankDelay = 250ms;
  static constexpr int kMaxRankDelays = 4;
  // Time for which an instance follows the store after its call succeeded.
  static constexpr Duration kActingTime = 8s;
  static constexpr Duration kActingAfterListTime = 700ms;
  // Mean time between two calls of a cell while calls fail.
  static constexpr Duration kCallInterval = 1s;

  struct Hooks {
    // Calls the store at once to verify the copy.
    std::function<void()> m_verify;
    // Returns a random number in [0, 1).
    std::function<double()> m_random;
  };

  explicit FollowerElection(Hooks hooks) : m_hooks(std::move(hooks)) {}

  // Must be called on every tick.
  void OnTick(const FollowerCandidate& self, Time now);

  // Records that this instance listed the store itself because no peer had a
  // copy. It then follows the store for the others, which also start, for
  // kActingAfterListTime.
  void OnListed(Time now) { m_acting_until = now + kActingAfterListTime; }

  // Records that a call of this instance verified its copy.
  void OnVerified(Time now);

  // Returns whether this instance follows the store.
  bool follows(Time now) const;

 private:
  Duration DelayFor(const FollowerCandidate& self) const;

  const Hooks m_hooks;
  // Time since which this instance has been the first one.
  std::optional<Time> m_first_since;
  Time m_acting_until;
  // Time of the next call while the contact is stale.
  std::optional<Time> m_next_call;
  // Whether a call was made because the contact was stale.
  bool m_called = false;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FOLLOWER_ELECTION_H_
