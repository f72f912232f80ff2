#ifndef SRC_PLATFORM_OBJECT_H_
#define SRC_PLATFORM_OBJECT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelug::platform {

// Maximum size of a value that the platform stores, as JSON text.
inline constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;
// Maximum size of a kind and of a name.
inline constexpr std::size_t kMaxNameBytes = 200;
// Maximum size of a write id. It exceeds kMaxNameBytes because write ids are
// often composed of several names.
inline constexpr std::size_t kMaxWriteIdBytes = 1000;

// Returns whether `text` is a valid kind or name: 1 to kMaxNameBytes bytes of
// UTF-8 without control characters.
bool IsName(std::string_view text);

// Returns whether `text` is a valid write id: as IsName(), but with up to
// kMaxWriteIdBytes bytes.
bool IsWriteId(std::string_view text);

// Identifies an object.
struct ObjectKey {
  std::string m_kind;
  std::string m_name;

  bool operator==(const ObjectKey&) const = default;
};

// One object as the platform stores it.
struct Object {
  std::string m_kind;
  std::string m_name;
  // Starts at 1 and increases by one with each change of this object. It is not
  // reset if the object is deleted and created again.
  std::int64_t m_version = 0;
  // The number of changes in the whole store up to this object's last change.
  std::int64_t m_revision = 0;
  // JSON text without insignificant white space.
  std::string m_value;
  // The write id of the last change.
  std::string m_write_id;

  bool operator==(const Object&) const = default;
};

// A conditional update; see Client::Put().
struct PutRequest {
  ObjectKey m_key;
  // The version that the change replaces; 0 to create the object.
  std::int64_t m_expected_version = 0;
  // JSON text.
  std::string m_value;
  // Unique to this change, and the same in all its retries.
  std::string m_write_id;

  bool operator==(const PutRequest&) const = default;
};

// A conditional deletion; see Client::Delete().
struct DeleteRequest {
  ObjectKey m_key;
  std::int64_t m_expected_version = 0;
  std::string m_write_id;

  bool operator==(const DeleteRequest&) const = default;
};

// A list of objects at one revision of the store.
struct ObjectList {
  std::int64_t m_revision = 0;
  std::vector<Object> m_objects;

  bool operator==(const ObjectList&) const = default;
};

// One change of an object. For a deletion, m_object has the version, revision
// and write id of the deletion, and an empty value.
struct Change {
  Object m_object;
  bool m_is_deletion = false;

  bool operator==(const Change&) const = default;
};

// All changes after the requested revision up to m_revision, in order.
struct ChangeList {
  std::int64_t m_revision = 0;
  std::vector<Change> m_changes;

  bool operator==(const ChangeList&) const = default;
};

// The answer to a watch from a revision whose following changes the platform no
// longer keeps. The objects must be listed again.
struct RevisionTooOld {
  bool operator==(const RevisionTooOld&) const = default;
};

// The result of a watch.
using WatchAnswer = std::variant<ChangeList, RevisionTooOld>;

// An entry of the platform's list of instances, which lags behind the actual
// state.
struct Instance {
  std::string m_name;
  std::string m_address;
  std::string m_zone;
  bool m_is_leaving = false;

  bool operator==(const Instance&) const = default;
};

using InstanceList = std::vector<Instance>;

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_OBJECT_H_
