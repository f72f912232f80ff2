#ifndef SRC_CORE_PLATFORM_CALL_H_
#define SRC_CORE_PLATFORM_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Kinds of objects that the platform stores. `kInstance` objects are the
// instances' leases, `kShare` objects the share tables, and `kGroup` objects
// the states of the database groups, including their primaries.
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

// Identifies one object.
struct ObjectKey {
  ObjectKind m_kind = ObjectKind::kProfile;
  std::string m_name;

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
};

// One object as stored by the platform.
struct Object {
  ObjectKey m_key;
  // Increases by one with each change of this object; 0 if the object does not
  // exist.
  uint64_t m_version = 0;
  // Revision of the platform at the object's last change.
  Revision m_revision;
  // JSON text; empty if the object is deleted.
  std::string m_value;
  bool m_deleted = false;
  // Identifies the write that created this version.
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

// Writes one object if its version is still `m_expected_version`; 0 means that
// the object must not exist.
struct PutObject {
  ObjectKey m_key;
  uint64_t m_expected_version = 0;
  std::string m_value;
  std::string m_write_id;

  friend bool operator==(const PutObject&, const PutObject&) = default;
};

// Deletes one object if its version is still `m_expected_version`.
struct DeleteObject {
  ObjectKey m_key;
  uint64_t m_expected_version = 0;
  std::string m_write_id;

  friend bool operator==(const DeleteObject&, const DeleteObject&) = default;
};

using PlatformRequest =
    std::variant<ListObjects, WatchObjects, GetObject, PutObject, DeleteObject>;

// Answers a list, with all objects, or a watch, with the changed ones.
struct ObjectBatch {
  // The revision up to which this batch is complete.
  Revision m_revision;
  std::vector<Object> m_objects;
  // True if the watch's revision is too old for the platform to know all
  // changes since. The objects must then be listed again.
  bool m_must_list = false;

  friend bool operator==(const ObjectBatch&, const ObjectBatch&) = default;
};

// Answers a read, or a write or deletion that took effect, with the current
// state of the object.
struct ObjectAnswer {
  Object m_object;

  friend bool operator==(const ObjectAnswer&, const ObjectAnswer&) = default;
};

// Answers a write or deletion that did not take effect because the object had
// another version.
struct VersionConflict {
  Object m_current;

  friend bool operator==(const VersionConflict&,
                         const VersionConflict&) = default;
};

// Reports that a call failed. `m_outcome_unknown` is set if a write may still
// have taken effect.
struct PlatformFailure {
  bool m_outcome_unknown = false;

  friend bool operator==(const PlatformFailure&,
                         const PlatformFailure&) = default;
};

using PlatformAnswer =
    std::variant<ObjectBatch, ObjectAnswer, VersionConflict, PlatformFailure>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_PLATFORM_CALL_H_
