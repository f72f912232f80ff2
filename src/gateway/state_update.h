#ifndef SRC_GATEWAY_STATE_UPDATE_H_
#define SRC_GATEWAY_STATE_UPDATE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/store_follower.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// How current an instance's copy of one kind of the store's objects is. See
// StoreFollower::changed() and complete().
struct CopyRevision {
  friend bool operator==(const CopyRevision&, const CopyRevision&) = default;

  StoreKind m_kind = StoreKind::kConfiguration;
  Revision m_changed;
  Revision m_complete;
};

// An object of the requester's copy. Two objects with the same name and
// revision are equal.
struct KnownObject {
  friend bool operator==(const KnownObject&, const KnownObject&) = default;

  std::string m_name;
  Revision m_revision;
};

// Number of a request. No other run of any instance uses it. Unset in the
// messages of an earlier version.
using StateRequestNumber = std::optional<std::uint64_t>;

// Requests what the receiver's copy of one kind has and the sender's lacks.
struct StateRequest {
  friend bool operator==(const StateRequest&, const StateRequest&) = default;

  StoreKind m_kind = StoreKind::kConfiguration;
  // StoreFollower::changed() of the sender's copy; 0 if it has none.
  Revision m_changed;
  std::vector<KnownObject> m_known;
  StateRequestNumber m_number{};
};

// The difference between two copies of one kind: what leads from the
// requester's copy to that of the sender.
struct StateUpdate {
  friend bool operator==(const StateUpdate&, const StateUpdate&) = default;

  StoreKind m_kind = StoreKind::kConfiguration;
  // StateRequest::m_changed. The update applies only to this copy.
  Revision m_base;
  // StoreFollower::changed() of the sender's copy.
  Revision m_changed;
  // Objects that are new or differ, as the store encodes them.
  std::vector<std::string> m_objects;
  // Names of the objects that the sender's copy does not contain.
  std::vector<std::string> m_removed;
  // Time since the last contact that verified the sender's copy, when the
  // update was made; unset if it was not verified.
  std::optional<Duration> m_age;
  // StateRequest::m_number.
  StateRequestNumber m_number{};
};

// A message between instances about their copies of the store's objects.
using StateMessage = std::variant<StateRequest, StateUpdate>;

// Decodes an object that the store encoded in `epoch`.
using DecodeObjectHook = std::function<
    StoreObject(StoreKind kind, const std::string& encoded, StoreEpoch epoch)>;

// Returns a request for the changes of a kind that `objects`, the own copy,
// lacks.
StateRequest MakeStateRequest(StoreKind kind,
                              const StoreObjects& objects,
                              Revision changed);

// Returns the update that answers `request` from `objects`, the own copy. The
// size of the update grows with the number of differences.
StateUpdate MakeStateUpdate(const StateRequest& request,
                            const StoreObjects& objects,
                            Revision changed,
                            std::optional<Duration> age);

// Returns `objects` after the update. Returns nullopt if an object in the
// update has no name, which means that the message is damaged.
std::optional<StoreObjects> ApplyStateUpdate(const StoreObjects& objects,
                                             const StateUpdate& update,
                                             const DecodeObjectHook& decode);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STATE_UPDATE_H_
