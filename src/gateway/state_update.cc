#include "src/gateway/state_update.h"

#include <map>
#include <utility>

namespace jasminelug::gateway {

StateRequest MakeStateRequest(StoreKind kind,
                              const StoreObjects& objects,
                              Revision changed) {
  StateRequest request{kind, changed, {}};
  for (const auto& [name, object] : objects) {
    request.m_known.push_back({name, object.m_revision});
  }
  return request;
}

StateUpdate MakeStateUpdate(const StateRequest& request,
                            const StoreObjects& objects,
                            Revision changed,
                            std::optional<Duration> age) {
  StateUpdate update{request.m_kind,  request.m_changed, changed, {}, {}, age,
                     request.m_number};
  std::map<std::string, Revision> known;
  for (const KnownObject& object : request.m_known) {
    known.emplace(object.m_name, object.m_revision);
    if (!objects.contains(object.m_name)) {
      update.m_removed.push_back(object.m_name);
    }
  }
  for (const auto& [name, object] : objects) {
    const auto found = known.find(name);
    if (found == known.end() || found->second != object.m_revision) {
      update.m_objects.push_back(object.m_encoded);
    }
  }
  return update;
}

std::optional<StoreObjects> ApplyStateUpdate(const StoreObjects& objects,
                                             const StateUpdate& update,
                                             const DecodeObjectHook& decode) {
  StoreObjects updated = objects;
  for (const std::string& name : update.m_removed) {
    updated.erase(name);
  }
  for (const std::string& encoded : update.m_objects) {
    StoreObject object =
        decode(update.m_kind, encoded, update.m_changed.epoch());
    if (object.m_name.empty()) {
      return std::nullopt;
    }
    const std::string name = object.m_name;
    updated.insert_or_assign(name, std::move(object));
  }
  return updated;
}

}  // namespace jasminelug::gateway
