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

// Which part of the engine made a call and gets its answer.
enum class CallOwner : uint8_t {
  kConfiguration,
  kMembership,
  kShares,
  kGroups,
  kRouter,
};

// What the parts of the engine may use while they handle one event: the time
// of the event, the list of actions, call numbers and random numbers. Neither
// reads a clock nor a random device, so a run is repeated by its seed.
class Context {
 public:
  // Resolves where a peer listens; an empty address means unknown.
  using AddressLookup = std::function<Address(const InstanceId&)>;

  explicit Context(uint64_t seed) : m_random(seed) {}

  Context(const Context&) = delete;
  Context& operator=(const Context&) = delete;

  // Starts the handling of one event: actions go to `actions`.
  void Start(Time now, std::vector<Action>* actions) {
    m_now = now;
    m_actions = actions;
  }

  void SetAddressLookup(AddressLookup lookup) { m_lookup = std::move(lookup); }

  // The time of the event that is being handled.
  Time Now() const { return m_now; }

  void Emit(Action action) { m_actions->push_back(std::move(action)); }

  // Sends to a peer if its address is known; drops the message otherwise.
  void Send(const InstanceId& peer, PeerMessage message);

  // Calls the platform on behalf of `owner`; returns the call's number.
  CallId CallThePlatform(CallOwner owner, PlatformRequest request);

  // Adds to the time line; fills in the sequence number and the time.
  void Record(TimelineEvent event);

  // Returns a number for a new call of `owner`.
  CallId NextCall(CallOwner owner);

  // Returns who made `call`.
  static CallOwner OwnerOf(CallId call);

  // Returns a number for a new connection.
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
