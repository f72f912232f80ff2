#ifndef TEST_GATEWAY_MODEL_STORE_H_
#define TEST_GATEWAY_MODEL_STORE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jasminelug/gateway.h"

namespace jasminelug::gateway {

// The platform's metadata store in memory: revisions, conditional writes,
// history, and restores from an older state, which begin a new epoch.
class ModelStore {
 public:
  // Changes an object as a conditional write does. Without an expected
  // revision, the object must not exist yet. Like the platform, the store
  // compares the number of the revision only, not its epoch.
  Result<StoreObject, StoreError> Write(StoreKind kind,
                                        const std::string& name,
                                        const StoreValue& value,
                                        std::optional<Revision> expected) {
    const Change* present = Find(kind, name);
    if (!present && expected) {
      return StoreError{StoreErrorKind::kNotFound, "missing"};
    }
    const bool current =
        present ? expected && expected->number() == present->m_number
                : !expected;
    if (!current) {
      return StoreError{StoreErrorKind::kConflict, "conflict"};
    }
    m_number += 1;
    m_history.push_back({m_number, kind, name, value, /*m_removed=*/false});
    return ObjectOf(m_history.back());
  }

  // Deletes an object if its revision is the expected one, or in any case
  // without one.
  void Delete(StoreKind kind,
              const std::string& name,
              std::optional<Revision> expected) {
    const Change* present = Find(kind, name);
    if (!present || (expected && expected->number() != present->m_number)) {
      return;
    }
    m_number += 1;
    m_history.push_back({m_number, kind, name, {}, /*m_removed=*/true});
  }

  StorePage List(StoreKind kind) const {
    StorePage page;
    for (const auto& [name, object] : Objects(kind)) {
      page.m_objects.push_back(object);
    }
    page.m_revision = revision();
    return page;
  }

  StoreChanges ChangesSince(StoreKind kind, Revision since) const {
    StoreChanges changes;
    changes.m_revision = revision();
    if (since.epoch() != m_epoch) {
      return changes;
    }
    for (const Change& change : m_history) {
      if (change.m_kind == kind && change.m_number > since.number()) {
        changes.m_changes.push_back({change.m_removed, ObjectOf(change)});
      }
    }
    return changes;
  }

  // Goes back to the state before the last `count` changes.
  void Restore(std::size_t count) {
    const std::size_t lost = std::min(count, m_history.size() - 1);
    m_history.resize(m_history.size() - lost);
    m_number = m_history.back().m_number;
    m_epoch = StoreEpoch(m_epoch.value() + 1);
  }

  StoreObjects Objects(StoreKind kind) const {
    StoreObjects objects;
    for (const Change& change : m_history) {
      if (change.m_kind != kind) {
        continue;
      }
      if (change.m_removed) {
        objects.erase(change.m_name);
      } else {
        objects.insert_or_assign(change.m_name, ObjectOf(change));
      }
    }
    return objects;
  }

  // Decodes what ObjectOf() encoded.
  StoreObject Decode(const std::string& encoded, StoreEpoch epoch) const {
    const auto found = m_encoded.find(encoded);
    if (found == m_encoded.end()) {
      return {};
    }
    StoreObject object = found->second;
    object.m_revision = Revision(epoch, object.m_revision.number());
    return object;
  }

  StoreEpoch epoch() const { return m_epoch; }
  Revision revision() const { return {m_epoch, m_number}; }

 private:
  struct Change {
    std::uint64_t m_number;
    StoreKind m_kind;
    std::string m_name;
    StoreValue m_value;
    bool m_removed;
  };

  const Change* Find(StoreKind kind, const std::string& name) const {
    for (auto change = m_history.rbegin(); change != m_history.rend();
         ++change) {
      if (change->m_kind == kind && change->m_name == name) {
        return change->m_removed ? nullptr : &*change;
      }
    }
    return nullptr;
  }

  StoreObject ObjectOf(const Change& change) const {
    StoreObject object;
    object.m_name = change.m_name;
    object.m_revision = Revision(m_epoch, change.m_number);
    object.m_value = change.m_value;
    object.m_encoded = change.m_name + "@" + std::to_string(change.m_number) +
                       "/" + std::to_string(m_epoch.value());
    m_encoded.emplace(object.m_encoded, object);
    return object;
  }

  std::vector<Change> m_history;
  std::uint64_t m_number = 0;
  StoreEpoch m_epoch{1};
  mutable std::map<std::string, StoreObject> m_encoded;
};

}  // namespace jasminelug::gateway

#endif  // TEST_GATEWAY_MODEL_STORE_H_
