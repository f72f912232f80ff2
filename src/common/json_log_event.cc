#include "src/common/json_log_event.h"

#include <utility>

namespace jasminelug {

JsonLogEvent::JsonLogEvent(const std::string& logger,
                           log4cplus::LogLevel level,
                           const std::string& text,
                           LogFields fields)
    : InternalLoggingEvent(logger, level, text, nullptr, 0),
      m_fields(std::move(fields)) {}

std::unique_ptr<log4cplus::spi::InternalLoggingEvent> JsonLogEvent::clone()
    const {
  return std::make_unique<JsonLogEvent>(*this);
}

}  // namespace jasminelug
