#ifndef TEST_FAKE_DATABASE_PULL_H_
#define TEST_FAKE_DATABASE_PULL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "test/fake_database/log.h"
#include "test/fake_database/sql_engine.h"
#include "test/fake_database/sql_text.h"

// The replication exchange, carried by the statement
// "SELECT * FROM group_pull(member, term, outline)".
namespace jasminelug::fake_database {

// A replica's request for the entries that it lacks.
struct PullRequest {
  std::uint32_t m_member = 0;
  // The term whose primary it means to ask.
  Term m_term = 0;
  LogOutline m_outline;

  bool operator==(const PullRequest&) const = default;
};

// The primary's answer: the replica keeps its log up to m_common and appends
// the entries.
struct PullAnswer {
  Term m_term = 0;
  Position m_common = 0;
  // The primary's last position.
  Position m_last = 0;
  std::vector<LogEntry> m_entries;

  bool operator==(const PullAnswer&) const = default;
};

Statement ToStatement(const PullRequest& request);

// Returns nothing for malformed arguments.
std::optional<PullRequest> ToPullRequest(const FunctionCall& call);

SqlResult ToSqlResult(const PullAnswer& answer);

// Returns nothing for malformed rows.
std::optional<PullAnswer> ToPullAnswer(const databases::StatementResult& rows);

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_PULL_H_
