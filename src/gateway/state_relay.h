#ifndef SRC_GATEWAY_STATE_RELAY_H_
#define SRC_GATEWAY_STATE_RELAY_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/state_update.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Decides from which instance, and when, this instance requests the changes of
// the store's objects that its own copy lacks.
//
// Serves a fleet in which only a few instances follow the store, so that the
// number of calls to the store does not grow with the fleet. Instances report
// the revisions of their copies to their peers. An instance whose copy is older
// asks one of those that have the newest, chosen at random, so that a change
// spreads over all that have it already. If no peer answers in time, the change
// is overdue, and the owner should call the store.
class StateRelay {
 public:
  struct Hooks {
    // Sends a StateRequest for this kind to a peer.
    std::function<void(const InstanceId& peer, StoreKind kind)> m_request;
    // Returns a random number in [0, 1).
    std::function<double()> m_random;
  };

  // Maximum time for a peer to answer. A peer that did not is not asked again
  // for kRetryDelay.
  static constexpr Duration kAnswerTimeout = 200ms;
  static constexpr Duration kRetryDelay = 1s;
  // An offer of a peer expires unless it is repeated within this time.
  static constexpr Duration kOfferMaxAge = 1s;
  // A change that a peer has is overdue if no peer has delivered it within this
  // time, the pause between two requests and a random delay. The delay grows
  // with the fleet up to a maximum, so that not all instances call the store at
  // the same time.
  static constexpr Duration kOverdueTime = 500ms;
  static constexpr Duration kOverdueDelayPerInstance = 25ms;
  static constexpr Duration kMaxOverdueDelay = 1500ms;
  // Minimum time between two requests for the instances' entries, for each
  // registered instance. They change often, and a copy of them is costly to
  // apply in a large fleet.
  static constexpr Duration kInstancesPausePerInstance = 4ms;

  explicit StateRelay(Hooks hooks) : m_hooks(std::move(hooks)) {}

  // Handles the revisions of a peer's copies, from its report.
  void OnReport(const InstanceId& peer,
                const std::vector<CopyRevision>& copies,
                Time now);

  // Returns whether an update of this peer was requested and is awaited. It is
  // then no longer awaited.
  bool TakeRequest(const InstanceId& peer, StoreKind kind);

  // Sets the number of registered instances.
  void SetFleetSize(int instances) { m_fleet_size = instances; }

  // Requests what the own copy lacks. Must be called for each kind on every
  // tick and after every report. The own copy contains all changes up to the
  // revision `complete`.
  void Update(StoreKind kind, Revision complete, Time now);

  // Returns whether a change of this kind is overdue, and then waits for it
  // anew.
  bool TakeOverdue(StoreKind kind, Time now);

 private:
  struct Offer {
    Revision m_changed;
    Time m_received;
    // The peer is not asked before this time.
    Time m_ask_from;
  };

  struct Request {
    InstanceId m_peer;
    Time m_sent;
  };

  struct Kind {
    std::map<InstanceId, Offer> m_offers;
    std::optional<Request> m_request;
    Time m_last_request;
    // Time from which the change that some peer has, and none has delivered, is
    // overdue.
    std::optional<Time> m_overdue_from;
  };

  void ExpireRequest(Kind* kind, Time now);
  Duration PauseOf(StoreKind kind) const;
  Duration OverdueTime(StoreKind kind) const;
  std::vector<InstanceId> NewestPeers(const Kind& kind,
                                      Revision complete,
                                      Time now) const;

  const Hooks m_hooks;
  int m_fleet_size = 1;
  std::map<StoreKind, Kind> m_kinds;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STATE_RELAY_H_
