#include "src/common/json_lines_layout.h"

#include <log4cplus/spi/loggingevent.h>

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

#include "src/common/json_log_event.h"

namespace jasminelug {
namespace {

std::string FormatTime(const log4cplus::helpers::Time& time) {
  constexpr std::size_t kMicrosecondDigits = 6;
  const std::string seconds = log4cplus::helpers::getFormattedTime(
      "%Y-%m-%dT%H:%M:%S", time, /*use_gmtime=*/true);
  const std::string micros =
      std::to_string(log4cplus::helpers::microseconds_part(time));
  const std::string padding(kMicrosecondDigits - micros.size(), '0');
  return seconds + "." + padding + micros + "Z";
}

// Adds the custom fields to `*line`. A field with a reserved name is ignored,
// since emplace does not replace existing fields.
void AddCustomFields(const LogFields& fields, nlohmann::ordered_json* line) {
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line->emplace(field.m_name, value); },
               field.m_value);
  }
}

}  // namespace

JsonLinesLayout::JsonLinesLayout(std::string instance)
    : m_instance(std::move(instance)) {}

void JsonLinesLayout::formatAndAppend(
    log4cplus::tostream& output,
    const log4cplus::spi::InternalLoggingEvent& event) {
  nlohmann::ordered_json line;
  line["time"] = FormatTime(event.getTimestamp());
  line["level"] = llmCache.toString(event.getLogLevel());
  line["logger"] = event.getLoggerName();
  line["instance"] = m_instance;
  line["message"] = event.getMessage();
  if (const auto* json_event = dynamic_cast<const JsonLogEvent*>(&event)) {
    AddCustomFields(json_event->Fields(), &line);
  }
  output << line.dump(-1, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace)
         << '\n';
}

}  // namespace jasminelug
