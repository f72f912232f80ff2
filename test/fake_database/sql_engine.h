#ifndef TEST_FAKE_DATABASE_SQL_ENGINE_H_
#define TEST_FAKE_DATABASE_SQL_ENGINE_H_

#include <memory>
#include <string>
#include <vector>

#include "jasminelug/common.h"
#include "jasminelug/databases.h"

struct sqlite3;

namespace jasminelug::fake_database {

// An error as the protocol reports it.
struct SqlError {
  std::string m_sqlstate;
  std::string m_message;
  // The table whose constraint was violated.
  std::string m_table;

  bool operator==(const SqlError&) const = default;
};

// The rows and the command tag of a statement.
struct SqlResult {
  std::vector<std::string> m_columns;
  std::vector<databases::Row> m_rows;
  std::string m_tag;

  bool operator==(const SqlResult&) const = default;
};

using SqlOutcome = Result<SqlResult, SqlError>;

// Whether a statement changes the database.
enum class Access { kRead, kWrite };

// A database in memory, by SQLite. Parameters $1, $2, ... are bound as text,
// but as integers where the statement says $1::int or $1::bigint.
class SqlEngine {
 public:
  SqlEngine();

  SqlOutcome Execute(const databases::Statement& statement);

  // Returns how `sql` accesses the database, or why it can't be prepared.
  Result<Access, SqlError> Classify(const std::string& sql);

  // Replaces the contents by those of `other`, which has no open transaction.
  void CopyFrom(const SqlEngine& other);

 private:
  struct Closer {
    void operator()(sqlite3* handle) const;
  };

  SqlError LastError() const;

  std::unique_ptr<sqlite3, Closer> m_handle;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_SQL_ENGINE_H_
