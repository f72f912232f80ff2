#ifndef SRC_CALLERS_CALLER_ANSWER_H_
#define SRC_CALLERS_CALLER_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/callers/caller_error.h"
#include "src/common/result.h"

namespace jasminelug::callers {

// Identifies the instance and the database member that ran a statement.
struct ServedBy {
  bool operator==(const ServedBy&) const = default;

  std::string m_instance;
  std::string m_member;
  // The member's role: "primary" or "replica".
  std::string m_role;
};

// A column value in text form; nullopt represents SQL NULL.
using Value = std::optional<std::string>;

using Row = std::vector<Value>;

// The result of a request that succeeded.
struct CallerSuccess {
  bool operator==(const CallerSuccess&) const = default;

  std::vector<std::string> m_columns;
  std::vector<Row> m_rows;
  // Number of affected rows that the database reports for the statement.
  std::uint64_t m_affected = 0;
  // The session token that the caller must send with its next request.
  std::string m_session;
  // The transaction's identifier, if the request began or belongs to one.
  std::optional<std::string> m_transaction;
  std::optional<ServedBy> m_served_by;
  // Whether this is the recorded outcome of an earlier request with the same
  // request id, so that nothing was run again.
  bool m_replayed = false;
};

using CallerAnswer = Result<CallerSuccess, CallerError>;

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_ANSWER_H_
