#ifndef SRC_DATABASES_RESULT_H_
#define SRC_DATABASES_RESULT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/result.h"
#include "src/databases/error.h"
#include "src/databases/group_report.h"
#include "src/databases/statement.h"

namespace jasminelug::databases {

// One row of a result, with its values in the order of the columns.
struct Row {
  std::vector<Value> m_values;

  bool operator==(const Row&) const = default;
};

// The answer to one statement.
struct StatementResult {
  std::vector<std::string> m_columns;
  std::vector<Row> m_rows;
  // Rows inserted, updated or deleted.
  std::uint64_t m_affected = 0;
  // The command's tag, as in "INSERT 0 1".
  std::string m_tag;
  // The member's report at the end of the statement's transaction or, inside
  // an explicit transaction, at the end of the statement.
  GroupReport m_report;

  bool operator==(const StatementResult&) const = default;
};

// The answers to a committed batch, one for each statement.
struct BatchResult {
  std::vector<StatementResult> m_results;
  // Contains the position of the batch's commit.
  GroupReport m_report;

  bool operator==(const BatchResult&) const = default;
};

using StatementOutcome = Result<StatementResult, Error>;
using BatchOutcome = Result<BatchResult, Error>;

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_RESULT_H_
