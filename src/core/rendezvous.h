#ifndef SRC_CORE_RENDEZVOUS_H_
#define SRC_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string>

#include "src/core/ids.h"

namespace jasminelug::core {

// Returns the rendezvous hashing weight of an instance for a task. The instance
// with the highest weight is assigned the task. See Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", 1998.
uint64_t RendezvousWeight(const InstanceId& instance, const std::string& task);

}  // namespace jasminelug::core

#endif  // SRC_CORE_RENDEZVOUS_H_
