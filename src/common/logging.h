#ifndef SRC_COMMON_LOGGING_H_
#define SRC_COMMON_LOGGING_H_

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <string>

#include "src/common/log_field.h"

namespace jasminelug {

// The output stream of log lines.
enum class LogStream { kStandardError, kStandardOutput };

// Options of Logging.
struct LogOptions {
  bool operator==(const LogOptions&) const = default;

  // The instance's name, which is a field of every log line.
  std::string m_instance;
  // Events below this level are not written.
  log4cplus::LogLevel m_level = log4cplus::INFO_LOG_LEVEL;
  LogStream m_stream = LogStream::kStandardError;
};

// Configures log4cplus to write all events as JSON lines to the selected
// stream, and shuts it down on destruction. To be constructed first in main.
class Logging {
 public:
  explicit Logging(const LogOptions& options);

 private:
  log4cplus::Initializer m_initializer;
};

// Logs `message` with `fields` if `logger` is enabled for `level`. Neither may
// contain a caller's key or anything derived from one.
void Log(const log4cplus::Logger& logger,
         log4cplus::LogLevel level,
         const std::string& message,
         const LogFields& fields = {});

}  // namespace jasminelug

#endif  // SRC_COMMON_LOGGING_H_
