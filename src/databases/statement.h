#ifndef SRC_DATABASES_STATEMENT_H_
#define SRC_DATABASES_STATEMENT_H_

#include <optional>
#include <string>
#include <vector>

namespace jasminelug::databases {

// A value as text; SQL's null is the empty optional.
using Value = std::optional<std::string>;

// One SQL statement with its parameters $1, $2, ... kept apart from the text.
struct Statement {
  std::string m_sql;
  std::vector<Value> m_params;

  bool operator==(const Statement&) const = default;
};

// Statements that take effect together or not at all. They hold no
// transaction control of their own.
struct Batch {
  std::vector<Statement> m_statements;

  bool operator==(const Batch&) const = default;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_STATEMENT_H_
