#ifndef TEST_FAKE_DATABASE_SQL_TEXT_H_
#define TEST_FAKE_DATABASE_SQL_TEXT_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminelug/databases.h"

// The little that the fake reads of SQL's text itself.
namespace jasminelug::fake_database {

// What a statement is to the session that runs it.
enum class StatementKind {
  kEmpty,
  kBegin,
  kCommit,
  kRollback,
  kGroupFunction,
  // Session settings, which are taken and ignored.
  kSet,
  // Transaction control that the fake doesn't have, such as savepoints.
  kUnsupported,
  kSql,
};

// A call of one of the group_* functions.
struct FunctionCall {
  std::string m_name;
  std::vector<databases::Value> m_args;

  bool operator==(const FunctionCall&) const = default;
};

// Returns the first word in upper case, empty where there is none.
std::string Keyword(const std::string& sql);

StatementKind KindOf(const std::string& sql);

// Reads "SELECT * FROM group_name(args)" or "SELECT group_name(args)"; each
// argument is a parameter, a number or a quoted string without commas.
// Returns nothing for anything else.
std::optional<FunctionCall> ParseFunctionCall(
    const databases::Statement& statement);

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_SQL_TEXT_H_
