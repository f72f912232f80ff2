#ifndef SRC_CORE_CALLER_REQUEST_H_
#define SRC_CORE_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// A key as presented by a caller. It is compared only by its digest, and is
// never written to a log or the time line or sent to a peer or a database.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string value) : m_value(std::move(value)) {}

  const std::string& Reveal() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend bool operator==(const Secret&, const Secret&) = default;

 private:
  std::string m_value;
};

// An SQL statement and its parameters in text form. A parameter of nullopt is
// NULL.
struct Statement {
  std::string m_sql;
  std::vector<std::optional<std::string>> m_parameters;

  friend bool operator==(const Statement&, const Statement&) = default;
};

enum class Operation { kStatement, kBegin, kCommit, kRollback };

// A request as received from a caller.
struct CallerRequest {
  Operation m_operation = Operation::kStatement;
  Secret m_key;
  DatabaseName m_database;
  ProfileName m_profile;
  Statement m_statement;
  bool m_read_only = false;
  // The explicit transaction; set for its statements, commit and rollback.
  TransactionId m_transaction;
  // Time from receipt after which the caller no longer waits for an answer.
  std::optional<Duration> m_deadline;
  // Identifies the request across retries through any instance.
  RequestId m_request_id;
  bool m_idempotent = false;
  // The token of the session's last answer; empty for a new session.
  std::string m_session;
  // Number of this request in its session, from 1.
  std::optional<uint64_t> m_sequence;
  // Maximum age of the data that this read accepts, if the profile allows
  // stale reads.
  std::optional<Duration> m_max_staleness;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

// What is known about the effect of a refused or failed request.
enum class Effect { kNotRun, kUnknown };

enum class RefusalCode {
  kInvalidRequest,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kKeyUnconfirmed,
  kNotAllowed,
  kUnknownDatabase,
  kUnknownProfile,
  kUnknownTransaction,
  kDatabaseLeaving,
  kRateExceeded,
  kOverloaded,
  kUnavailable,
  kZoneOut,
  kShuttingDown,
  kDeadlineExceeded,
  kRejectedByDatabase,
  kTransactionAborted,
  kOutcomeUnknown,
};

// Returns the name of the code in the callers' API, e.g. "rate_exceeded".
const char* ToString(RefusalCode code);

// An answer that reports why the request was not served.
struct Refusal {
  RefusalCode m_code = RefusalCode::kUnavailable;
  Effect m_effect = Effect::kNotRun;
  std::string m_message;
  // Name of the invalid field of the request, if there is one.
  std::string m_field;
  // Time after which a retry may succeed, if known.
  std::optional<Duration> m_retry_after;
  // The session's token after this request; set if the effect is unknown.
  std::string m_session;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

using Row = std::vector<std::optional<std::string>>;

enum class MemberRole { kPrimary, kReplica };

// An answer to a request that was served.
struct Served {
  std::vector<std::string> m_columns;
  std::vector<Row> m_rows;
  uint64_t m_affected = 0;
  std::string m_session;
  TransactionId m_transaction;
  InstanceId m_instance;
  MemberId m_member;
  MemberRole m_role = MemberRole::kPrimary;
  // True if an earlier request with the same id had already run.
  bool m_replayed = false;

  friend bool operator==(const Served&, const Served&) = default;
};

using CallerAnswer = std::variant<Served, Refusal>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_CALLER_REQUEST_H_
