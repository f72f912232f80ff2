#include "src/common/logging.h"

#include <log4cplus/consoleappender.h>

#include <memory>

#include "src/common/json_lines_layout.h"
#include "src/common/json_log_event.h"

namespace jasminelug {

Logging::Logging(const LogOptions& options) {
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
      /*logToStdErr=*/options.m_stream == LogStream::kStandardError,
      /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<JsonLinesLayout>(options.m_instance));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(options.m_level);
}

void Log(const log4cplus::Logger& logger,
         log4cplus::LogLevel level,
         const std::string& message,
         const LogFields& fields) {
  if (!logger.isEnabledFor(level)) {
    return;
  }
  logger.callAppenders(JsonLogEvent(logger.getName(), level, message, fields));
}

}  // namespace jasminelug
