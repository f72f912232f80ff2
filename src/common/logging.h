#ifndef SRC_COMMON_LOGGING_H_
#define SRC_COMMON_LOGGING_H_

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <string>

#include "src/common/log_field.h"

namespace jasminelug {

// Where log lines go.
enum class LogStream { kStandardError, kStandardOutput };

// What Logging needs to know.
struct LogOptions {
  bool operator==(const LogOptions&) const = default;

  // The instance's name, written into every line.
  std::string m_instance;
  // Events below this level are not written.
  log4cplus::LogLevel m_level = log4cplus::INFO_LOG_LEVEL;
  LogStream m_stream = LogStream::kStandardError;
};

// Keeps log4cplus running: made first in main, it writes all events as JSON
// lines to the chosen stream until it is destroyed.
class Logging {
 public:
  explicit Logging(const LogOptions& options);

 private:
  log4cplus::Initializer m_initializer;
};

// Logs `message` with `fields` if `logger` is enabled for `level`. Never pass a
// caller's key, nor anything made from one.
void Log(const log4cplus::Logger& logger,
         log4cplus::LogLevel level,
         const std::string& message,
         const LogFields& fields = {});

}  // namespace jasminelug

#endif  // SRC_COMMON_LOGGING_H_
