#include "src/core/relay_assembler.h"

#include <utility>

namespace jasminelug::core {
namespace {

// Estimated size of an object's fields apart from its strings.
constexpr size_t kObjectOverheadBytes = 64;

size_t EstimatedSize(const Object& object) {
  return object.m_key.m_name.size() + object.m_value.size() +
         object.m_write_id.size() + kObjectOverheadBytes;
}

}  // namespace

std::vector<RelayedObjects> SplitRelay(const RelayedObjects& whole,
                                       size_t max_bytes) {
  RelayedObjects empty;
  empty.m_since = whole.m_since;
  empty.m_batch.m_revision = whole.m_batch.m_revision;
  std::vector<RelayedObjects> parts = {empty};
  size_t bytes = 0;
  for (const Object& object : whole.m_batch.m_objects) {
    const size_t object_bytes = EstimatedSize(object);
    if (bytes > 0 && bytes + object_bytes > max_bytes) {
      parts.push_back(empty);
      bytes = 0;
    }
    bytes += object_bytes;
    parts.back().m_batch.m_objects.push_back(object);
  }
  for (size_t i = 0; i < parts.size(); ++i) {
    parts[i].m_part = static_cast<uint32_t>(i);
    parts[i].m_parts = static_cast<uint32_t>(parts.size());
  }
  return parts;
}

std::optional<RelayedObjects> RelayAssembler::Add(const PeerSender& from,
                                                  const RelayedObjects& part) {
  if (part.m_parts <= 1) {
    return part;
  }
  const RelayId id{from, part.m_since, part.m_batch.m_revision, part.m_parts};
  if (id != m_id) {
    m_id = id;
    m_parts.clear();
  }
  if (part.m_part >= part.m_parts) {
    return std::nullopt;
  }
  m_parts[part.m_part] = part.m_batch.m_objects;
  if (m_parts.size() < part.m_parts) {
    return std::nullopt;
  }
  RelayedObjects whole;
  whole.m_since = part.m_since;
  whole.m_batch.m_revision = part.m_batch.m_revision;
  for (const auto& [number, objects] : m_parts) {
    whole.m_batch.m_objects.insert(whole.m_batch.m_objects.end(),
                                   objects.begin(), objects.end());
  }
  m_id = RelayId();
  m_parts.clear();
  return whole;
}

}  // namespace jasminelug::core
