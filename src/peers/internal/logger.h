#ifndef SRC_PEERS_INTERNAL_LOGGER_H_
#define SRC_PEERS_INTERNAL_LOGGER_H_

#include <string>

#include "jasminelug/common.h"

namespace jasminelug::peers::internal {

// Write to the logger of this package.
void LogInfo(const std::string& message, const LogFields& fields);
void LogWarning(const std::string& message, const LogFields& fields);

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_LOGGER_H_
