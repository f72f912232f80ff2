#ifndef SRC_COMMON_JSON_LINES_LAYOUT_H_
#define SRC_COMMON_JSON_LINES_LAYOUT_H_

#include <log4cplus/layout.h>

#include <string>

namespace jasminelug {

// Formats each log event as one line of JSON with the fields time (UTC, with
// microseconds), level, logger, instance and message, followed by the custom
// fields of a JsonLogEvent. Bytes that are not valid UTF-8 are replaced by
// U+FFFD.
class JsonLinesLayout : public log4cplus::Layout {
 public:
  // `instance` is the value of the instance field in every line.
  explicit JsonLinesLayout(std::string instance);

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  const std::string m_instance;
};

}  // namespace jasminelug

#endif  // SRC_COMMON_JSON_LINES_LAYOUT_H_
