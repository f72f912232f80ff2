#include "src/databases/internal/row_reader.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace jasminelug::databases::internal {

RowReader::RowReader(const StatementResult& result)
    : m_result(result),
      m_good(result.m_rows.size() == 1 &&
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
  m_good = m_good && error == std::errc() && end == text.data() + text.size();
  return number;
}

bool RowReader::Bool(std::string_view column) {
  const std::string_view text = Text(column);
  m_good = m_good && (text == "t" || text == "f");
  return text == "t";
}

Role RowReader::RoleOf(std::string_view column) {
  const std::string_view text = Text(column);
  m_good = m_good && (text == "primary" || text == "replica");
  return text == "primary" ? Role::kPrimary : Role::kReplica;
}

const Value* RowReader::Find(std::string_view column) {
  const auto& columns = m_result.m_columns;
  const auto found = std::find(columns.begin(), columns.end(), column);
  m_good = m_good && found != columns.end();
  if (!m_good) {
    return nullptr;
  }
  const auto index = static_cast<std::size_t>(found - columns.begin());
  return &m_result.m_rows[0].m_values[index];
}

std::string_view RowReader::Text(std::string_view column) {
  const Value* value = Find(column);
  m_good = m_good && value->has_value();
  return m_good ? std::string_view(**value) : std::string_view();
}

}  // namespace jasminelug::databases::internal
