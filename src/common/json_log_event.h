#ifndef SRC_COMMON_JSON_LOG_EVENT_H_
#define SRC_COMMON_JSON_LOG_EVENT_H_

#include <log4cplus/spi/loggingevent.h>

#include <memory>
#include <string>

#include "src/common/log_field.h"

namespace jasminelug {

// A log4cplus event with custom fields; see Log and JsonLinesLayout.
class JsonLogEvent : public log4cplus::spi::InternalLoggingEvent {
 public:
  JsonLogEvent(const std::string& logger,
               log4cplus::LogLevel level,
               const std::string& text,
               LogFields fields);

  std::unique_ptr<log4cplus::spi::InternalLoggingEvent> clone() const override;

  const LogFields& Fields() const { return m_fields; }

 private:
  LogFields m_fields;
};

}  // namespace jasminelug

#endif  // SRC_COMMON_JSON_LOG_EVENT_H_
