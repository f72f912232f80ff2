#include "apps/jasminelugctl/table.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace jasminelug::ctl {
namespace {

constexpr int kJsonIndent = 2;
constexpr std::size_t kColumnGap = 2;

void PrintRow(std::ostream& out,
              const Table::Row& row,
              const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    std::string cell = Printable(row[i]);
    if (i + 1 < row.size()) {
      cell.resize(std::max(cell.size(), widths[i]) + kColumnGap, ' ');
    }
    line += cell;
  }
  out << line << "\n";
}

}  // namespace

Table::Table(Row header) : m_rows{std::move(header)} {}

void Table::Add(Row row) {
  JASMINELUG_ASSERT(row.size() == m_rows.front().size(),
                    A_ROW_HAS_A_CELL_FOR_EACH_COLUMN);
  m_rows.push_back(std::move(row));
}

void Table::Print(const Invocation& invocation) const {
  if (invocation.m_options.m_json) {
    PrintJson(invocation, ToJson());
    return;
  }
  std::vector<std::size_t> widths(m_rows.front().size());
  for (const Row& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const Row& row : m_rows) {
    PrintRow(invocation.m_out, row, widths);
  }
}

nlohmann::json Table::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (std::size_t i = 1; i < m_rows.size(); ++i) {
    nlohmann::json object = nlohmann::json::object();
    for (std::size_t column = 0; column < m_rows[i].size(); ++column) {
      std::string name = m_rows.front()[column];
      std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      });
      object[name] = m_rows[i][column];
    }
    list.push_back(object);
  }
  return list;
}

std::string Printable(const std::string& text) {
  std::string result = text;
  for (char& c : result) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) {
      c = '?';
    }
  }
  return result;
}

void PrintJson(const Invocation& invocation, const nlohmann::json& value) {
  invocation.m_out << value.dump(kJsonIndent, ' ', false,
                                 nlohmann::json::error_handler_t::replace)
                   << "\n";
}

}  // namespace jasminelug::ctl
