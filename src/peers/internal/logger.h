#ifndef SRC_PEERS_INTERNAL_LOGGER_H_
#define SRC_PEERS_INTERNAL_LOGGER_H_

#include <string>

#include "jasminelug/common.h"

namespace jasminelug::peers::internal {

// Write a message with its fields to the logger `jasminelug.peers`.
void LogInfo(const std::string& message, const LogFields& fields);
void LogWarning(const std::string& message, const LogFields& fields);

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_LOGGER_H_
