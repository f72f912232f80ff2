#include "test/fake_line_platform/object_store.h"

namespace jasminelug::fake_line_platform {
namespace {

using nlohmann::json;

constexpr std::size_t kPageSize = 50;

}  // namespace

json* ObjectStore::Find(const std::string& kind, const std::string& name) {
  Objects& objects = m_contents.m_objects[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : &found->second;
}

ObjectStore::Response ObjectStore::List(const std::string& kind,
                                        const std::string& after) const {
  json body = {
      {"items", json::array()}, {"more", false}, {"current-rev", revision()}};
  const auto objects = m_contents.m_objects.find(kind);
  if (objects == m_contents.m_objects.end()) {
    return {200, body};
  }
  for (auto item = objects->second.upper_bound(after);
       item != objects->second.end(); ++item) {
    if (body["items"].size() == kPageSize) {
      body["more"] = true;
      break;
    }
    body["items"].push_back(item->second);
  }
  return {200, body};
}

ObjectStore::Response ObjectStore::Get(const std::string& kind,
                                       const std::string& name) const {
  const auto objects = m_contents.m_objects.find(kind);
  if (objects == m_contents.m_objects.end() ||
      !objects->second.contains(name)) {
    return {404, json::object()};
  }
  return {200, objects->second.at(name)};
}

ObjectStore::Response ObjectStore::Store(const std::string& kind,
                                         const std::string& name,
                                         const json& object,
                                         std::uint64_t created) {
  m_contents.m_revision += 1;
  json stored = object;
  stored["meta"] = {{"name", name},
                    {"revision", revision()},
                    {"created", created == 0 ? revision() : created},
                    {"finalizers", json::array()},
                    {"deleting", false}};
  m_contents.m_objects[kind][name] = stored;
  Record(kind, /*removed=*/false, stored);
  return {200, stored};
}

ObjectStore::Response ObjectStore::Create(const std::string& kind,
                                          const json& object) {
  const std::string name = object.at("meta").at("name").get<std::string>();
  if (const json* present = Find(kind, name)) {
    return {409, *present};
  }
  return Store(kind, name, object, 0);
}

ObjectStore::Response ObjectStore::Replace(const std::string& kind,
                                           const std::string& name,
                                           const json& object) {
  const json* present = Find(kind, name);
  if (!present) {
    return {404, json::object()};
  }
  const json& meta = object.at("meta");
  const bool conflict = meta.contains("revision") &&
                        meta["revision"] != present->at("meta")["revision"];
  if (conflict) {
    return {409, *present};
  }
  if (present->value("spec", json()) == object.value("spec", json())) {
    return {200, *present};
  }
  return Store(kind, name, object,
               present->at("meta")["created"].get<std::uint64_t>());
}

ObjectStore::Response ObjectStore::Remove(
    const std::string& kind,
    const std::string& name,
    std::optional<std::uint64_t> expected) {
  const json* present = Find(kind, name);
  if (!present) {
    return {404, json::object()};
  }
  if (expected && present->at("meta")["revision"] != *expected) {
    return {409, *present};
  }
  const json removed = *present;
  m_contents.m_objects[kind].erase(name);
  m_contents.m_revision += 1;
  Record(kind, /*removed=*/true, removed);
  return {200, removed};
}

void ObjectStore::Record(const std::string& kind,
                         bool removed,
                         const json& object) {
  m_contents.m_history.push_back({revision(), kind, removed, object});
}

std::optional<json> ObjectStore::ChangesSince(const std::string& kind,
                                              std::uint64_t since) const {
  if (since > revision()) {
    return std::nullopt;
  }
  json events = json::array();
  for (const Change& change : m_contents.m_history) {
    if (change.m_revision > since && change.m_kind == kind) {
      events.push_back(
          {{"removed", change.m_removed}, {"object", change.m_object}});
    }
  }
  return events;
}

void ObjectStore::Restore(const Snapshot& snapshot) {
  m_contents = snapshot;
  m_era += 1;
}

}  // namespace jasminelug::fake_line_platform
