#ifndef SRC_CORE_CONTEXT_H_
#define SRC_CORE_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

#include "src/core/action.h"
#include "src/core/ids.h"
#include "src/core/time.h"
#include "src/core/timeline_event.h"

namespace jasminelug::core {

// The part of the engine that made a call and receives its answer.
enum class CallOwner : uint8_t {
  kConfiguration,
  kMembership,
  kShares,
  kGroups,
  kRouter,
};

// Provides the parts of the engine with the time of the current event, the
// list of actions, unique ids and random numbers. It reads neither a clock nor
// a random device, so that a run can be reproduced from its seed.
class Context {
 public:
  // Returns the address of a peer, or an empty address if it is unknown.
  using AddressLookup = std::function<Address(const InstanceId&)>;

  explicit Context(uint64_t seed) : m_random(seed) {}

  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  // Starts the handling of an event at `now`. Actions are appended to
  // `actions`, which must outlive the handling of the event.
  void Start(Time now, std::vector<Action>* actions) {
    m_now = now;
    m_actions = actions;
  }

  void SetAddressLookup(AddressLookup lookup) { m_lookup = std::move(lookup); }

  // Returns the time of the event that is being handled.
  Time Now() const { return m_now; }

  // Appends an action to the list of the current event.
  void Emit(Action action) { m_actions->push_back(std::move(action)); }

  // Sends a message to a peer, or drops it if the peer's address is unknown.
  void Send(const InstanceId& peer, PeerMessage message);

  // Calls the platform on behalf of `owner`; returns the call's number.
  CallId CallThePlatform(CallOwner owner, PlatformRequest request);

  // Appends an event to the time line, and fills in its sequence number and
  // time.
  void Record(TimelineEvent event);

  // Returns a unique id for a new call by `owner`.
  CallId NextCall(CallOwner owner);

  // Returns the part of the engine that made `call`.
  static CallOwner OwnerOf(CallId call);

  // Returns a unique id for a new connection.
  ConnectionId NextConnection() { return ConnectionId(++m_last_connection); }

  // Returns a uniformly random duration in [0, limit].
  Duration RandomUpTo(Duration limit);

  std::mt19937_64& Random() { return m_random; }

 private:
  Time m_now;
  std::vector<Action>* m_actions = nullptr;
  AddressLookup m_lookup;
  uint64_t m_last_call = 0;
  uint64_t m_last_connection = 0;
  uint64_t m_last_event = 0;
  std::mt19937_64 m_random;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONTEXT_H_
