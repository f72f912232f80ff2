#ifndef SRC_DATABASES_INTERNAL_PG_RESULT_H_
#define SRC_DATABASES_INTERNAL_PG_RESULT_H_

#include <libpq-fe.h>

#include <memory>

#include "src/databases/result.h"

// Conversion of libpq's results to the types of this package.
namespace jasminelug::databases::internal {

struct PgResultDeleter {
  void operator()(PGresult* result) const { PQclear(result); }
};

using PgResult = std::unique_ptr<PGresult, PgResultDeleter>;

// Returns whether the statement succeeded.
bool IsSuccess(const PGresult* result);

// Returns the columns, rows and counts of `result`. m_report is left empty.
StatementResult ToStatementResult(PGresult* result);

// Returns the error in a complete answer: kRejected or kDuplicateRequest.
Error ToError(const PGresult* result);

// Returns the report in the last ParameterStatus messages on `connection`.
GroupReport ToGroupReport(const PGconn* connection);

// Returns the error of a connection that could not be established. The SQLSTATE
// is parsed from the message, which requires PQERRORS_VERBOSE.
Error ToConnectError(const PGconn* connection);

}  // namespace jasminelug::databases::internal

#endif  // SRC_DATABASES_INTERNAL_PG_RESULT_H_
