#include "src/databases/internal/pg_result.h"

#include <cerrno>
#include <charconv>
#include <cstring>
#include <string_view>
#include <system_error>

namespace jasminelug::databases::internal {
namespace {

constexpr std::string_view kUniqueViolation = "23505";

std::string FieldOf(const PGresult* result, int field) {
  const char* text = PQresultErrorField(result, field);
  return text == nullptr ? std::string() : std::string(text);
}

std::uint64_t ToNumber(const char* text) {
  std::uint64_t number = 0;
  if (text != nullptr) {
    std::from_chars(text, text + std::strlen(text), number);
  }
  return number;
}

Role ToRole(const char* text) {
  if (text == nullptr) {
    return Role::kUnknown;
  }
  const std::string_view role(text);
  if (role == "primary") {
    return Role::kPrimary;
  }
  return role == "replica" ? Role::kReplica : Role::kUnknown;
}

// Returns the SQLSTATE in a verbose error message such as
// "FATAL:  53300: too many connections", or an empty string if there is none.
std::string SqlstateIn(std::string_view message) {
  constexpr std::string_view kSeverity = "FATAL:  ";
  constexpr std::size_t kSqlstateLength = 5;
  const std::size_t found = message.find(kSeverity);
  if (found == std::string_view::npos) {
    return "";
  }
  const std::string_view rest = message.substr(found + kSeverity.size());
  if (rest.find(':') != kSqlstateLength) {
    return "";
  }
  return std::string(rest.substr(0, kSqlstateLength));
}

Value ValueAt(const PGresult* result, int row, int column) {
  if (PQgetisnull(result, row, column) != 0) {
    return std::nullopt;
  }
  const int length = PQgetlength(result, row, column);
  return std::string(PQgetvalue(result, row, column),
                     static_cast<std::size_t>(length));
}

}  // namespace

bool IsSuccess(const PGresult* result) {
  const ExecStatusType status = PQresultStatus(result);
  return status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK;
}

StatementResult ToStatementResult(PGresult* result) {
  StatementResult answer;
  const int columns = PQnfields(result);
  for (int column = 0; column < columns; ++column) {
    answer.m_columns.emplace_back(PQfname(result, column));
  }
  for (int row = 0; row < PQntuples(result); ++row) {
    Row values;
    for (int column = 0; column < columns; ++column) {
      values.m_values.push_back(ValueAt(result, row, column));
    }
    answer.m_rows.push_back(std::move(values));
  }
  answer.m_tag = PQcmdStatus(result);
  if (!answer.m_tag.starts_with("SELECT")) {
    answer.m_affected = ToNumber(PQcmdTuples(result));
  }
  return answer;
}

Error ToError(const PGresult* result) {
  Error error;
  error.m_kind = ErrorKind::kRejected;
  error.m_sqlstate = FieldOf(result, PG_DIAG_SQLSTATE);
  error.m_message = FieldOf(result, PG_DIAG_MESSAGE_PRIMARY);
  if (error.m_sqlstate == kUniqueViolation &&
      FieldOf(result, PG_DIAG_TABLE_NAME) == kRequestTable) {
    error.m_kind = ErrorKind::kDuplicateRequest;
  }
  return error;
}

GroupReport ToGroupReport(const PGconn* connection) {
  GroupReport report;
  report.m_term = ToNumber(PQparameterStatus(connection, "group_term"));
  report.m_position = ToNumber(PQparameterStatus(connection, "group_position"));
  report.m_role = ToRole(PQparameterStatus(connection, "group_role"));
  return report;
}

Error ToConnectError(const PGconn* connection) {
  Error error;
  error.m_kind = ErrorKind::kConnectFailed;
  error.m_message =
      connection == nullptr ? "out of memory" : PQerrorMessage(connection);
  // libpq does not expose errno, only the C library's message for it.
  const std::string refused = std::generic_category().message(ECONNREFUSED);
  error.m_refused = error.m_message.find(refused) != std::string::npos;
  error.m_sqlstate = SqlstateIn(error.m_message);
  return error;
}

}  // namespace jasminelug::databases::internal
