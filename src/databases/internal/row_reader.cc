#include "src/databases/internal/row_reader.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace jasminelug::databases::internal {

RowReader::RowReader(const StatementResult& result)
    : m_result(result),
      m_is_valid(result.m_rows.size() == 1 &&
                 result.m_rows[0].m_values.size() == result.m_columns.size()) {}

bool RowReader::IsNull(std::string_view column) {
  const Value* value = Find(column);
  return value == nullptr || !value->has_value();
}

std::uint64_t RowReader::Number(std::string_view column) {
  const std::string_view text = Text(column);
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  m_is_valid =
      m_is_valid && error == std::errc() && end == text.data() + text.size();
  return number;
}

bool RowReader::Bool(std::string_view column) {
  const std::string_view text = Text(column);
  m_is_valid = m_is_valid && (text == "t" || text == "f");
  return text == "t";
}

Role RowReader::RoleOf(std::string_view column) {
  const std::string_view text = Text(column);
  m_is_valid = m_is_valid && (text == "primary" || text == "replica");
  return text == "primary" ? Role::kPrimary : Role::kReplica;
}

const Value* RowReader::Find(std::string_view column) {
  const auto& columns = m_result.m_columns;
  const auto found = std::find(columns.begin(), columns.end(), column);
  m_is_valid = m_is_valid && found != columns.end();
  if (!m_is_valid) {
    return nullptr;
  }
  const auto index = static_cast<std::size_t>(found - columns.begin());
  return &m_result.m_rows[0].m_values[index];
}

std::string_view RowReader::Text(std::string_view column) {
  const Value* value = Find(column);
  m_is_valid = m_is_valid && value->has_value();
  return m_is_valid ? std::string_view(**value) : std::string_view();
}

}  // namespace jasminelug::databases::internal
