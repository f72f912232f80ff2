#ifndef SRC_PLATFORM_OBJECT_H_
#define SRC_PLATFORM_OBJECT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelug::platform {

// The longest value that the platform holds, as JSON text.
inline constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;
// The longest kind and name.
inline constexpr std::size_t kMaxNameBytes = 200;
// The longest write id, which is often made of names.
inline constexpr std::size_t kMaxWriteIdBytes = 1000;

// Whether `text` may be a kind or a name: 1 to kMaxNameBytes bytes of UTF-8
// without control characters.
bool IsName(std::string_view text);

// As IsName(), with kMaxWriteIdBytes.
bool IsWriteId(std::string_view text);

// What an object is found by.
struct ObjectKey {
  std::string m_kind;
  std::string m_name;

  bool operator==(const ObjectKey&) const = default;
};

// One object as the platform holds it.
struct Object {
  std::string m_kind;
  std::string m_name;
  // Rises by one with each change of this object, from 1, and does not fall
  // when the object is deleted and created again.
  std::int64_t m_version = 0;
  // The whole store's count of changes at this object's last change.
  std::int64_t m_revision = 0;
  // JSON text without insignificant white space.
  std::string m_value;
  // The id that came with the last change.
  std::string m_write_id;

  bool operator==(const Object&) const = default;
};

// A conditional update; see Client::Put().
struct PutRequest {
  ObjectKey m_key;
  // The version that the change replaces; 0 creates the object.
  std::int64_t m_expected_version = 0;
  // JSON text.
  std::string m_value;
  // Unique to this change and the same in its retries.
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

// Objects as of one revision.
struct ObjectList {
  std::int64_t m_revision = 0;
  std::vector<Object> m_objects;

  bool operator==(const ObjectList&) const = default;
};

// One change. That of a deletion has the deletion's version, revision and
// write id, and an empty value.
struct Change {
  Object m_object;
  bool m_is_deletion = false;

  bool operator==(const Change&) const = default;
};

// All changes between the revision that was asked for and this one, in order.
struct ChangeList {
  std::int64_t m_revision = 0;
  std::vector<Change> m_changes;

  bool operator==(const ChangeList&) const = default;
};

// The platform does not keep changes from so long ago; list again.
struct RevisionTooOld {
  bool operator==(const RevisionTooOld&) const = default;
};

// What a watch brings.
using WatchAnswer = std::variant<ChangeList, RevisionTooOld>;

// An entry of the platform's list of instances, which lags.
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
