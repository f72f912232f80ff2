#ifndef APPS_JASMINELUGCTL_TABLE_H_
#define APPS_JASMINELUGCTL_TABLE_H_

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

#include "apps/jasminelugctl/invocation.h"

namespace jasminelug::ctl {

// Holds a table of text cells with a header row of column names.
class Table {
 public:
  using Row = std::vector<std::string>;

  explicit Table(Row header);

  // Appends a row, which must have as many cells as the header.
  void Add(Row row);

  // Prints aligned columns. With --json, prints a list of objects whose keys
  // are the column names in lower case.
  void Print(const Invocation& invocation) const;

 private:
  nlohmann::json ToJson() const;

  std::vector<Row> m_rows;
};

// Returns the text with each control character replaced by '?', so that a
// stored name can't send escape sequences to the operator's terminal.
std::string Printable(const std::string& text);

// Prints one JSON document followed by a newline. Replaces invalid UTF-8.
void PrintJson(const Invocation& invocation, const nlohmann::json& value);

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_TABLE_H_
