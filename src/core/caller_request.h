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

// A caller's key as presented. Only compared through its digest; never
// written to a log, the time line, a peer or a database.
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

// An SQL statement and its parameters in text form; nullopt is NULL.
struct Statement {
  std::string m_sql;
  std::vector<std::optional<std::string>> m_parameters;

  friend bool operator==(const Statement&, const Statement&) = default;
};

enum class Operation { kStatement, kBegin, kCommit, kRollback };

// What a caller asks for.
struct CallerRequest {
  Operation m_operation = Operation::kStatement;
  Secret m_key;
  DatabaseName m_database;
  ProfileName m_profile;
  Statement m_statement;
  bool m_read_only = false;
  // Set for a statement in a transaction, for commit and for roll back.
  TransactionId m_transaction;
  // Time from receipt after which the caller no longer waits.
  std::optional<Duration> m_deadline;
  // Names the request across repeats, through any instance.
  RequestId m_request_id;
  bool m_idempotent = false;
  // The token of the session's last answer; empty for a new session.
  std::string m_session;
  // Number of this request in its session, from 1.
  std::optional<uint64_t> m_sequence;
  // The age of data that this read accepts, where the profile allows it.
  std::optional<Duration> m_max_staleness;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

// What is known of a refused or failed request's effect.
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

// Returns the code as it stands in the callers' API, e.g. "rate_exceeded".
const char* ToString(RefusalCode code);

// An answer that reports why the request was not served.
struct Refusal {
  RefusalCode m_code = RefusalCode::kUnavailable;
  Effect m_effect = Effect::kNotRun;
  std::string m_message;
  // Name of the offending field, where one is to blame.
  std::string m_field;
  // When a repeat has a chance, where known.
  std::optional<Duration> m_retry_after;
  // The session's token after this request; set where the effect is unknown.
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
  // True where an earlier request of the same id had already run.
  bool m_replayed = false;

  friend bool operator==(const Served&, const Served&) = default;
};

using CallerAnswer = std::variant<Served, Refusal>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_CALLER_REQUEST_H_
