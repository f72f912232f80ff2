#include "src/core/rendezvous.h"

#include <xxhash.h>

namespace jasminelug::core {

uint64_t RendezvousWeight(const InstanceId& instance, const std::string& task) {
  const std::string text = instance.str() + "\n" + task;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace jasminelug::core
