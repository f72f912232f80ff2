#include "src/peers/internal/logger.h"

#include <log4cplus/tchar.h>

namespace jasminelug::peers::internal {
namespace {

log4cplus::Logger PeersLogger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("jasminelug.peers"));
}

}  // namespace

void LogInfo(const std::string& message, const LogFields& fields) {
  Log(PeersLogger(), log4cplus::INFO_LOG_LEVEL, message, fields);
}

void LogWarning(const std::string& message, const LogFields& fields) {
  Log(PeersLogger(), log4cplus::WARN_LOG_LEVEL, message, fields);
}

}  // namespace jasminelug::peers::internal
