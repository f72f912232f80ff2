#include "src/operators/internal/timeline_query_parser.h"

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>

namespace jasminelug::operators::internal {
namespace {

constexpr std::size_t kEscapedBytes = 3;

std::optional<std::string> Decode(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      result.push_back(text[i]);
      continue;
    }
    const std::string_view digits = text.substr(i + 1, kEscapedBytes - 1);
    unsigned char byte = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (error != std::errc() || end != digits.data() + kEscapedBytes - 1) {
      return std::nullopt;
    }
    result.push_back(static_cast<char>(byte));
    i += kEscapedBytes - 1;
  }
  return result;
}

std::string* FieldOf(TimelineQuery* query, std::string_view name) {
  if (name == "request") {
    return &query->m_request;
  }
  if (name == "customer") {
    return &query->m_customer;
  }
  if (name == "database") {
    return &query->m_database;
  }
  return name == "zone" ? &query->m_zone : nullptr;
}

bool ReadParameter(std::string_view parameter, TimelineQuery* query) {
  const std::size_t equals = parameter.find('=');
  std::string* field = FieldOf(query, parameter.substr(0, equals));
  if (!field || equals == std::string_view::npos) {
    return false;
  }
  const std::optional<std::string> value = Decode(parameter.substr(equals + 1));
  if (!value) {
    return false;
  }
  *field = *value;
  return true;
}

}  // namespace

Result<TimelineQuery, AdminError> ParseTimelineQuery(std::string_view target) {
  TimelineQuery query;
  const std::size_t mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    if (!ReadParameter(rest.substr(0, end), &query)) {
      return AdminError{
          AdminError::Kind::kBadRequest,
          "the parameters are request, customer, database and zone"};
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return query;
}

}  // namespace jasminelug::operators::internal
