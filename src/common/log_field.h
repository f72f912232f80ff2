#ifndef SRC_COMMON_LOG_FIELD_H_
#define SRC_COMMON_LOG_FIELD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jasminelug {

// A custom field of a log line, in addition to its message. The names "time",
// "level", "logger", "instance" and "message" are reserved.
struct LogField {
  using Value = std::variant<bool, std::int64_t, double, std::string>;

  bool operator==(const LogField&) const = default;

  std::string m_name;
  Value m_value;
};

using LogFields = std::vector<LogField>;

}  // namespace jasminelug

#endif  // SRC_COMMON_LOG_FIELD_H_
