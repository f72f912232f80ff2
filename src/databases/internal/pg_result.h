#ifndef SRC_DATABASES_INTERNAL_PG_RESULT_H_
#define SRC_DATABASES_INTERNAL_PG_RESULT_H_

#include <libpq-fe.h>

#include <memory>

#include "src/databases/result.h"

// Turns libpq's results into the package's own values.
namespace jasminelug::databases::internal {

struct PgResultDeleter {
  void operator()(PGresult* result) const { PQclear(result); }
};

using PgResult = std::unique_ptr<PGresult, PgResultDeleter>;

// Returns whether the statement succeeded.
bool IsSuccess(const PGresult* result);

// Copies columns, rows and counts; the report is left empty.
StatementResult ToStatementResult(PGresult* result);

// Returns the error that a complete answer carries: kRejected or
// kDuplicateRequest.
Error ToError(const PGresult* result);

// Returns what `connection` was last told by ParameterStatus messages.
GroupReport ToGroupReport(const PGconn* connection);

// Returns the error of a connection that did not come about. Its SQLSTATE is
// read from the message, which needs verbose error messages.
Error ToConnectError(const PGconn* connection);

}  // namespace jasminelug::databases::internal

#endif  // SRC_DATABASES_INTERNAL_PG_RESULT_H_
