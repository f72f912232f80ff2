#ifndef SRC_CALLERS_CALLER_ANSWER_H_
#define SRC_CALLERS_CALLER_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/callers/caller_error.h"
#include "src/common/result.h"

namespace jasminelug::callers {

// Who ran a statement.
struct ServedBy {
  bool operator==(const ServedBy&) const = default;

  std::string m_instance;
  std::string m_member;
  // "primary" or "replica".
  std::string m_role;
};

// A value in text form; nothing stands for null.
using Value = std::optional<std::string>;

using Row = std::vector<Value>;

// What a request came to that succeeded.
struct CallerSuccess {
  bool operator==(const CallerSuccess&) const = default;

  std::vector<std::string> m_columns;
  std::vector<Row> m_rows;
  std::uint64_t m_affected = 0;
  // The token that the caller's next request shall carry.
  std::string m_session;
  std::optional<std::string> m_transaction;
  std::optional<ServedBy> m_served_by;
  // The recorded outcome of an earlier request with the same id.
  bool m_replayed = false;
};

using CallerAnswer = Result<CallerSuccess, CallerError>;

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_ANSWER_H_
