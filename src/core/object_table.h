#ifndef SRC_CORE_OBJECT_TABLE_H_
#define SRC_CORE_OBJECT_TABLE_H_

#include <map>
#include <set>
#include <vector>

#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Holds every object of the platform as of one revision, and the tombstones of
// recently deleted objects. The revision never decreases.
class ObjectTable {
 public:
  // Objects that a batch changed, including deleted ones.
  using Changes = std::vector<Object>;

  // Applies a batch that contains every change after `since`. If `since` is 0,
  // the batch contains every object, and objects that are not in it are
  // deleted. Changes nothing if the batch is not newer than the table, or if
  // changes between the table's revision and `since` would be missing. Returns
  // the changes.
  Changes Merge(Revision since, const ObjectBatch& batch);

  // Returns the objects that changed after `since`. If tombstones of that age
  // are no longer kept, the result contains every object instead, and its
  // `m_since` is 0.
  RelayedObjects ChangesSince(Revision since) const;

  // Returns the object; nullptr if it is unknown or deleted.
  const Object* Find(const ObjectKey& key) const;

  Revision GetRevision() const { return m_revision; }

  // Returns every object that is not deleted.
  std::vector<Object> All() const;

 private:
  bool IsNewer(const Object& object) const;
  void Apply(const Object& object, Changes* changes);
  void DeleteMissing(const ObjectBatch& batch, Changes* changes);
  void DropOldTombstones();
  void DropOldestTombstone();

  // Orders tombstones by age.
  struct Tombstone {
    Revision m_revision;
    ObjectKey m_key;

    friend auto operator<=>(const Tombstone&, const Tombstone&) = default;
  };

  std::map<ObjectKey, Object> m_objects;
  std::set<Tombstone> m_tombstones;
  // Tombstones of deletions up to this revision are no longer kept.
  Revision m_dropped_until;
  Revision m_revision;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_OBJECT_TABLE_H_
