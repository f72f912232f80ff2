#include "src/core/object_table.h"

#include <algorithm>
#include <set>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

// Maximum number of tombstones. They let peers that are slightly behind catch
// up with the changes alone. A peer that is further behind gets every object.
constexpr size_t kMaxTombstones = 4096;

}  // namespace

ObjectTable::Changes ObjectTable::Merge(Revision since,
                                        const ObjectBatch& batch) {
  Changes changes;
  const bool leaves_gap = since > m_revision;
  if (batch.m_revision <= m_revision || leaves_gap) {
    return changes;
  }
  for (const Object& object : batch.m_objects) {
    Apply(object, &changes);
  }
  if (since == Revision()) {
    DeleteMissing(batch, &changes);
  }
  m_revision = batch.m_revision;
  DropOldTombstones();
  return changes;
}

RelayedObjects ObjectTable::ChangesSince(Revision since) const {
  RelayedObjects relayed;
  relayed.m_since = since < m_dropped_until ? Revision() : since;
  relayed.m_batch.m_revision = m_revision;
  const bool complete = relayed.m_since == Revision();
  for (const auto& [key, object] : m_objects) {
    const bool wanted =
        complete ? !object.m_deleted : object.m_revision > since;
    if (wanted) {
      relayed.m_batch.m_objects.push_back(object);
    }
  }
  return relayed;
}

const Object* ObjectTable::Find(const ObjectKey& key) const {
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end() && !found->second.m_deleted;
  return exists ? &found->second : nullptr;
}

std::vector<Object> ObjectTable::All() const {
  std::vector<Object> all;
  for (const auto& [key, object] : m_objects) {
    if (!object.m_deleted) {
      all.push_back(object);
    }
  }
  return all;
}

bool ObjectTable::IsNewer(const Object& object) const {
  const auto known = m_objects.find(object.m_key);
  if (known == m_objects.end()) {
    return true;
  }
  // The version counts the changes since the object was created, so it may
  // start again after a deletion. The revision orders all changes.
  return object.m_revision > known->second.m_revision;
}

void ObjectTable::Apply(const Object& object, Changes* changes) {
  if (!IsNewer(object)) {
    return;
  }
  Object& known = m_objects[object.m_key];
  JASMINELUG_ASSERT(
      known.m_version == 0 || object.m_revision > known.m_revision,
      CONFIGURATION_NEVER_REVERTS);
  m_tombstones.erase({known.m_revision, known.m_key});
  known = object;
  if (object.m_deleted) {
    m_tombstones.insert({object.m_revision, object.m_key});
  }
  changes->push_back(object);
}

void ObjectTable::DeleteMissing(const ObjectBatch& batch, Changes* changes) {
  std::set<ObjectKey> listed;
  for (const Object& object : batch.m_objects) {
    listed.insert(object.m_key);
  }
  std::vector<Object> missing;
  for (const auto& [key, object] : m_objects) {
    const bool could_be_listed = object.m_revision <= batch.m_revision;
    if (!object.m_deleted && could_be_listed && !listed.contains(key)) {
      missing.push_back(object);
    }
  }
  for (const Object& object : missing) {
    Object tombstone;
    tombstone.m_key = object.m_key;
    tombstone.m_version = object.m_version + 1;
    // The revision of the deletion is unknown, but it is not later than that of
    // the list.
    tombstone.m_revision = batch.m_revision;
    tombstone.m_deleted = true;
    Apply(tombstone, changes);
  }
  // Deletions before the list are known only from the objects that it lacks. A
  // peer with an older revision than the list is therefore sent every object.
  m_dropped_until = std::max(m_dropped_until, batch.m_revision);
}

void ObjectTable::DropOldTombstones() {
  while (m_tombstones.size() > kMaxTombstones) {
    m_dropped_until =
        std::max(m_dropped_until, m_tombstones.begin()->m_revision);
    DropOldestTombstone();
  }
  while (!m_tombstones.empty() &&
         m_tombstones.begin()->m_revision <= m_dropped_until) {
    DropOldestTombstone();
  }
}

void ObjectTable::DropOldestTombstone() {
  m_objects.erase(m_tombstones.begin()->m_key);
  m_tombstones.erase(m_tombstones.begin());
}

}  // namespace jasminelug::core
