#ifndef SRC_DATABASES_STATEMENT_H_
#define SRC_DATABASES_STATEMENT_H_

#include <optional>
#include <string>
#include <vector>

namespace jasminelug::databases {

// A value in text form; no value stands for SQL's NULL.
using Value = std::optional<std::string>;

// One SQL statement and the values of its parameters $1, $2, ..., which are
// sent separately from the text.
struct Statement {
  std::string m_sql;
  std::vector<Value> m_params;

  bool operator==(const Statement&) const = default;
};

// Statements that take effect together or not at all. They must not contain
// transaction control statements.
struct Batch {
  std::vector<Statement> m_statements;

  bool operator==(const Batch&) const = default;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_STATEMENT_H_
