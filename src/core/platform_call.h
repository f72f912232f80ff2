#ifndef SRC_CORE_PLATFORM_CALL_H_
#define SRC_CORE_PLATFORM_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Kinds of objects that the platform keeps for us. `kInstance` objects are
// the instances' leases; `kShare` the tables of shares; `kGroup` what is known
// of a database group's primary.
enum class ObjectKind {
  kProfile,
  kCustomer,
  kKey,
  kZone,
  kDatabase,
  kInstance,
  kShare,
  kGroup,
};

// Names one object.
struct ObjectKey {
  ObjectKind m_kind = ObjectKind::kProfile;
  std::string m_name;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
};

// One object as the platform holds it.
struct Object {
  ObjectKey m_key;
  // Grows by one with each change of this object; 0 means no such object.
  uint64_t m_version = 0;
  // The platform's revision of the last change.
  Revision m_revision;
  // JSON text; empty where the object is deleted.
  std::string m_value;
  bool m_deleted = false;
  // Identifies the write that made this version.
  std::string m_write_id;

  friend bool operator==(const Object&, const Object&) = default;
};

// Reads every object.
struct ListObjects {
  friend bool operator==(const ListObjects&, const ListObjects&) = default;
};

// Waits up to `m_wait` for changes after `m_since`.
struct WatchObjects {
  Revision m_since;
  Duration m_wait{};

  friend bool operator==(const WatchObjects&, const WatchObjects&) = default;
};

// Reads one object.
struct GetObject {
  ObjectKey m_key;

  friend bool operator==(const GetObject&, const GetObject&) = default;
};

// Writes one object if it still has `m_expected_version` (0: does not exist).
struct PutObject {
  ObjectKey m_key;
  uint64_t m_expected_version = 0;
  std::string m_value;
  std::string m_write_id;

  friend bool operator==(const PutObject&, const PutObject&) = default;
};

// Deletes one object if it still has `m_expected_version`.
struct DeleteObject {
  ObjectKey m_key;
  uint64_t m_expected_version = 0;
  std::string m_write_id;

  friend bool operator==(const DeleteObject&, const DeleteObject&) = default;
};

using PlatformRequest =
    std::variant<ListObjects, WatchObjects, GetObject, PutObject, DeleteObject>;

// Answers a list (all objects) or a watch (the changed ones).
struct ObjectBatch {
  // The revision up to which this batch is complete.
  Revision m_revision;
  std::vector<Object> m_objects;
  // True where the watch's revision is too old: list again.
  bool m_must_list = false;

  friend bool operator==(const ObjectBatch&, const ObjectBatch&) = default;
};

// Answers a get, or a write that took effect, with the object as it is now.
struct ObjectAnswer {
  Object m_object;

  friend bool operator==(const ObjectAnswer&, const ObjectAnswer&) = default;
};

// The write did not take effect: the object had another version.
struct VersionConflict {
  Object m_current;

  friend bool operator==(const VersionConflict&,
                         const VersionConflict&) = default;
};

// The call failed. `m_outcome_unknown` is set where a write may have taken
// effect all the same.
struct PlatformFailure {
  bool m_outcome_unknown = false;

  friend bool operator==(const PlatformFailure&,
                         const PlatformFailure&) = default;
};

using PlatformAnswer =
    std::variant<ObjectBatch, ObjectAnswer, VersionConflict, PlatformFailure>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_PLATFORM_CALL_H_
