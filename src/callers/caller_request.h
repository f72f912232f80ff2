#ifndef SRC_CALLERS_CALLER_REQUEST_H_
#define SRC_CALLERS_CALLER_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/callers/caller_key.h"

namespace jasminelug::callers {

// A statement's parameter in text form; nullopt represents SQL NULL.
using Parameter = std::optional<std::string>;

// The body of POST /v1/statement: runs one statement, within the transaction
// m_transaction or, without it, on its own.
struct StatementRequest {
  bool operator==(const StatementRequest&) const = default;

  std::string m_database;
  std::string m_profile;
  std::string m_sql;
  std::vector<Parameter> m_params;
  bool m_read_only = false;
  std::optional<std::string> m_transaction;
  std::optional<std::chrono::milliseconds> m_deadline;
  std::optional<std::string> m_request_id;
  bool m_idempotent = false;
  std::optional<std::string> m_session;
  // Position of the request in its session. A gap in the sequence means that
  // the caller did not receive the answer to an earlier request.
  std::optional<std::uint64_t> m_sequence;
  std::optional<std::chrono::milliseconds> m_max_staleness;
};

// The body of POST /v1/begin: starts a transaction.
struct BeginRequest {
  bool operator==(const BeginRequest&) const = default;

  std::string m_database;
  std::string m_profile;
  bool m_read_only = false;
  std::optional<std::chrono::milliseconds> m_deadline;
  std::optional<std::string> m_session;
};

// The body of POST /v1/commit: commits a transaction.
struct CommitRequest {
  bool operator==(const CommitRequest&) const = default;

  std::string m_transaction;
  std::optional<std::string> m_request_id;
  std::optional<std::string> m_session;
  std::optional<std::chrono::milliseconds> m_deadline;
};

// The body of POST /v1/rollback: rolls a transaction back.
struct RollbackRequest {
  bool operator==(const RollbackRequest&) const = default;

  std::string m_transaction;
  std::optional<std::string> m_request_id;
  std::optional<std::string> m_session;
  std::optional<std::chrono::milliseconds> m_deadline;
};

using CallerOperation = std::
    variant<StatementRequest, BeginRequest, CommitRequest, RollbackRequest>;

// A caller's request, with the key by which the caller authenticates.
struct CallerRequest {
  bool operator==(const CallerRequest&) const = default;

  CallerKey m_key;
  CallerOperation m_operation;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_REQUEST_H_
