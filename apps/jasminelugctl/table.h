#ifndef APPS_JASMINELUGCTL_TABLE_H_
#define APPS_JASMINELUGCTL_TABLE_H_

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

#include "apps/jasminelugctl/invocation.h"

namespace jasminelug::ctl {

// Rows of text below a row of column names.
class Table {
 public:
  using Row = std::vector<std::string>;

  explicit Table(Row header);

  // `row` has as many cells as the header.
  void Add(Row row);

  // Prints aligned columns, or with --json a list of objects with the column
  // names in lower case.
  void Print(const Invocation& invocation) const;

 private:
  nlohmann::json ToJson() const;

  std::vector<Row> m_rows;
};

// Returns the text with control characters replaced, so that no stored name
// can steer the terminal.
std::string Printable(const std::string& text);

// Prints one JSON document and a line end; invalid UTF-8 is replaced.
void PrintJson(const Invocation& invocation, const nlohmann::json& value);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_TABLE_H_
