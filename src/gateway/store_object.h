#ifndef SRC_GATEWAY_STORE_OBJECT_H_
#define SRC_GATEWAY_STORE_OBJECT_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/gateway/configuration.h"
#include "src/gateway/ids.h"
#include "src/gateway/member.h"

namespace jasminelug::gateway {

// Kinds of objects that the gateway writes to or reads from the metadata store.
enum class StoreKind {
  kConfiguration,
  kMembers,
  kEvacuations,
  kInstances,
  kReplacements,
};

inline constexpr std::array kStoreKinds = {
    StoreKind::kConfiguration, StoreKind::kMembers, StoreKind::kEvacuations,
    StoreKind::kInstances, StoreKind::kReplacements};

// Returns the name of a kind for logs and metrics.
const char* NameOf(StoreKind kind);

// An availability zone whose members accept no new work.
struct EvacuatedZone {
  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;

  ZoneName m_zone;
};

// The registration of an instance that serves or is about to.
struct InstanceEntry {
  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;

  InstanceId m_id;
  // A later run of the same instance has a higher incarnation.
  Incarnation m_incarnation;
  ZoneName m_zone;
  // Address at which the instance receives datagrams from its peers.
  Address m_peer_address;
  // Processor capacity of the instance, in cores of the platform's usual speed;
  // 0 if unknown.
  double m_processors = 0;
  // Newest revision of the replacement record whose old primary the instance
  // has stopped using. It is stored here only while the instance's reports do
  // not reach the coordinator.
  Revision m_acknowledged;
  // Whether the instance is stopping. It then accepts no work from other
  // instances, but still serves its own sessions.
  bool m_leaving = false;
  // Revision of the store at which it holds this entry; 0 if unknown. It is not
  // part of what the instance writes.
  Revision m_revision;

  // Returns whether `other` belongs to the same run of the same instance.
  bool IsSameRun(const InstanceEntry& other) const {
    return m_id == other.m_id && m_incarnation == other.m_incarnation &&
           m_peer_address == other.m_peer_address;
  }
};

// The primary of a group after a completed replacement.
struct ReplacedPrimary {
  friend bool operator==(const ReplacedPrimary&,
                         const ReplacedPrimary&) = default;

  GroupName m_group;
  MemberId m_primary;
};

// A replacement in progress. The old primary is no longer used.
struct ReplacementIntent {
  friend bool operator==(const ReplacementIntent&,
                         const ReplacementIntent&) = default;

  GroupName m_group;
  MemberId m_old_primary;
  MemberId m_candidate;
  // Whether the replacement is planned: the old primary is still working, so
  // its last statements may complete.
  bool m_planned = false;
};

// The single record of primary replacements in the fleet. The revision of a
// record with an intent is the fencing token of the promotion that the intent
// leads to.
struct ReplacementRecord {
  friend bool operator==(const ReplacementRecord&,
                         const ReplacementRecord&) = default;

  // Epoch of the store in which the record was written. In a later one, a part
  // of the record may have been lost.
  StoreEpoch m_epoch;
  // Whether a group that m_primaries does not contain has no primary until it
  // is replaced. Otherwise it has the primary that it began with.
  bool m_lists_all_groups = false;
  // The instance that carries out the intent.
  InstanceId m_coordinator;
  std::optional<ReplacementIntent> m_intent;
  std::vector<ReplacedPrimary> m_primaries;
};

// An object that another writer stored in a form that cannot be parsed.
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

// A store object at one revision.
struct StoreObject {
  friend bool operator==(const StoreObject&, const StoreObject&) = default;

  std::string m_name;
  Revision m_revision;
  StoreValue m_value;
  // The object in the form in which the store sent it, which other instances
  // can decode as well.
  std::string m_encoded{};
};

// A change to one object.
struct StoreChange {
  friend bool operator==(const StoreChange&, const StoreChange&) = default;

  bool m_removed = false;
  StoreObject m_object;
};

// One page of the list of all objects of a kind.
struct StorePage {
  friend bool operator==(const StorePage&, const StorePage&) = default;

  std::vector<StoreObject> m_objects;
  // Whether there are further objects after the last one.
  bool m_more = false;
  Revision m_revision;
};

// The changes since a revision.
struct StoreChanges {
  friend bool operator==(const StoreChanges&, const StoreChanges&) = default;

  std::vector<StoreChange> m_changes;
  Revision m_revision;
};

// Reasons for which a call to the store returns no result.
enum class StoreErrorKind {
  kConflict,     // The revision is not current, or the object exists already.
  kNotFound,     // The object does not exist.
  kHistoryGone,  // The store no longer has the changes after that revision.
  kRefused,      // Nothing was changed; a retry may succeed.
  kUnknown,      // The change may have been made or may still be made.
};

struct StoreError {
  friend bool operator==(const StoreError&, const StoreError&) = default;

  StoreErrorKind m_kind = StoreErrorKind::kUnknown;
  std::string m_message;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STORE_OBJECT_H_
