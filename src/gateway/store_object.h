#ifndef SRC_GATEWAY_STORE_OBJECT_H_
#define SRC_GATEWAY_STORE_OBJECT_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/gateway/configuration.h"
#include "src/gateway/ids.h"
#include "src/gateway/member.h"

namespace jasminelug::gateway {

// What the gateway keeps in, or reads from, the metadata store.
enum class StoreKind {
  kConfiguration,
  kMembers,
  kEvacuations,
  kInstances,
  kReplacements,
};

// An availability zone whose members take no work.
struct EvacuatedZone {
  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;

  ZoneName m_zone;
};

// An instance that serves, or is about to.
struct InstanceEntry {
  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;

  InstanceId m_id;
  // A later run of the same instance has a higher one.
  Incarnation m_incarnation;
  ZoneName m_zone;
  // Where its peers reach it, by datagrams.
  Address m_peer_address;
  // What the instance has of processors, in cores of its platform's usual
  // speed; 0 where it does not say.
  double m_processors = 0;
  // The newest replacement record whose old primary the instance has stopped
  // using. Kept here only while its reports do not reach the coordinator.
  Revision m_acknowledged;

  // Whether the entry is of the same run of the same instance.
  bool IsSameRun(const InstanceEntry& other) const {
    return m_id == other.m_id && m_incarnation == other.m_incarnation &&
           m_peer_address == other.m_peer_address;
  }
};

// The primary that a finished replacement left.
struct ReplacedPrimary {
  friend bool operator==(const ReplacedPrimary&,
                         const ReplacedPrimary&) = default;

  GroupName m_group;
  MemberId m_primary;
};

// A replacement that has begun: the old primary is not used any more.
struct ReplacementIntent {
  friend bool operator==(const ReplacementIntent&,
                         const ReplacementIntent&) = default;

  GroupName m_group;
  MemberId m_old_primary;
  MemberId m_candidate;
  // The old primary still serves: its last statements may end in peace.
  bool m_planned = false;
};

// The fleet's one record of replacements of primaries. Its revision is the
// fencing token of the promotion that an intent leads to.
struct ReplacementRecord {
  friend bool operator==(const ReplacementRecord&,
                         const ReplacementRecord&) = default;

  // The instance that carries the intent out.
  InstanceId m_coordinator;
  std::optional<ReplacementIntent> m_intent;
  std::vector<ReplacedPrimary> m_primaries;
};

// An object that another writer left in a form that is not understood.
struct UnreadableObject {
  friend bool operator==(const UnreadableObject&,
                         const UnreadableObject&) = default;

  std::string m_reason;
};

using StoreValue = std::variant<UnreadableObject,
                                std::shared_ptr<const Configuration>,
                                Member,
                                EvacuatedZone,
                                InstanceEntry,
                                ReplacementRecord>;

// An object of the store at one revision.
struct StoreObject {
  friend bool operator==(const StoreObject&, const StoreObject&) = default;

  std::string m_name;
  Revision m_revision;
  StoreValue m_value;
};

// A change of one object.
struct StoreChange {
  friend bool operator==(const StoreChange&, const StoreChange&) = default;

  bool m_removed = false;
  StoreObject m_object;
};

// A part of the list of a kind.
struct StorePage {
  friend bool operator==(const StorePage&, const StorePage&) = default;

  std::vector<StoreObject> m_objects;
  // There are further objects after the last one.
  bool m_more = false;
  Revision m_revision;
};

// The changes after a revision.
struct StoreChanges {
  friend bool operator==(const StoreChanges&, const StoreChanges&) = default;

  std::vector<StoreChange> m_changes;
  Revision m_revision;
};

// Why a call to the store has no result.
enum class StoreErrorKind {
  kConflict,     // Another revision is current, or the object exists.
  kNotFound,     // No such object.
  kHistoryGone,  // The changes after that revision are forgotten.
  kRefused,      // Nothing was done; a retry may succeed.
  kUnknown,      // A change may have been made, or may still be.
};

struct StoreError {
  friend bool operator==(const StoreError&, const StoreError&) = default;

  StoreErrorKind m_kind = StoreErrorKind::kUnknown;
  std::string m_message;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STORE_OBJECT_H_
