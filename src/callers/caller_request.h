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

// A statement's parameter in text form; nothing stands for null.
using Parameter = std::optional<std::string>;

// POST /v1/statement: runs one statement, within a transaction or alone.
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
  // The position of the request in its session; a gap means a lost answer.
  std::optional<std::uint64_t> m_sequence;
  std::optional<std::chrono::milliseconds> m_max_staleness;
};

// POST /v1/begin: opens a transaction.
struct BeginRequest {
  bool operator==(const BeginRequest&) const = default;

  std::string m_database;
  std::string m_profile;
  bool m_read_only = false;
  std::optional<std::chrono::milliseconds> m_deadline;
  std::optional<std::string> m_session;
};

// POST /v1/commit: ends a transaction and keeps what it did.
struct CommitRequest {
  bool operator==(const CommitRequest&) const = default;

  std::string m_transaction;
  std::optional<std::string> m_request_id;
  std::optional<std::string> m_session;
  std::optional<std::chrono::milliseconds> m_deadline;
};

// POST /v1/rollback: ends a transaction and undoes what it did.
struct RollbackRequest {
  bool operator==(const RollbackRequest&) const = default;

  std::string m_transaction;
  std::optional<std::string> m_request_id;
  std::optional<std::string> m_session;
  std::optional<std::chrono::milliseconds> m_deadline;
};

using CallerOperation = std::
    variant<StatementRequest, BeginRequest, CommitRequest, RollbackRequest>;

// What a caller asks for, and the key it presents.
struct CallerRequest {
  bool operator==(const CallerRequest&) const = default;

  CallerKey m_key;
  CallerOperation m_operation;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_REQUEST_H_
