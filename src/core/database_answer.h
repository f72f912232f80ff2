#ifndef SRC_CORE_DATABASE_ANSWER_H_
#define SRC_CORE_DATABASE_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/caller_request.h"
#include "src/core/ids.h"
#include "src/core/log_position.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The result of a statement, or of a batch that the database ran as one
// transaction.
struct StatementDone {
  std::vector<std::string> m_columns;
  std::vector<Row> m_rows;
  uint64_t m_affected = 0;
  // On a primary, the position of the commit, or the end of the log after a
  // read. On a replica, the position that it has applied.
  LogPosition m_position;
  MemberRole m_role = MemberRole::kPrimary;

  friend bool operator==(const StatementDone&, const StatementDone&) = default;
};

// Why a database refused a statement.
enum class RejectionKind {
  // The statement is invalid or failed; it took no effect.
  kStatement,
  // The request's id was already in the table of requests.
  kDuplicateRequest,
  // The member is not the primary of its group, or its term is no longer
  // current.
  kNotPrimary,
};

// The database reported that the statement took no effect.
struct StatementRejected {
  RejectionKind m_kind = RejectionKind::kStatement;
  std::string m_sqlstate;
  std::string m_message;

  friend bool operator==(const StatementRejected&,
                         const StatementRejected&) = default;
};

// The connection failed while the statement ran.
struct StatementLost {
  // False if the statement was certainly never sent by this instance.
  bool m_sent = true;

  friend bool operator==(const StatementLost&, const StatementLost&) = default;
};

using StatementOutcome =
    std::variant<StatementDone, StatementRejected, StatementLost>;

// The state of a member as reported by itself.
struct MemberStatus {
  // Highest term that the member has granted.
  Term m_granted_term;
  // End of the log that the member holds, which survives its restart.
  LogPosition m_received;
  // Index up to which reads on this member see the log.
  uint64_t m_applied_index = 0;
  // The beginning of the last term in the log.
  TermLineage m_lineage;
  MemberRole m_role = MemberRole::kReplica;
  // Time since a replica last heard from the primary that it follows while it
  // held all of the log that the primary had announced. Zero on a primary.
  Duration m_data_age{};

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

// A member's answer to a GrantRequest.
struct GrantAnswer {
  bool m_granted = false;
  Term m_granted_term;
  LogPosition m_received;

  friend bool operator==(const GrantAnswer&, const GrantAnswer&) = default;
};

// Asks a member for its MemberStatus.
struct StatusRequest {
  friend bool operator==(const StatusRequest&, const StatusRequest&) = default;
};

// Asks a member to grant a term to a candidate.
struct GrantRequest {
  Term m_term;
  // Identifies the attempt to get a term granted. It is unique to the attempt,
  // not only to the instance that makes it.
  InstanceId m_candidate;

  friend bool operator==(const GrantRequest&, const GrantRequest&) = default;
};

// Asks a member to become primary of a term that it has granted to this
// candidate.
struct PromotionRequest {
  Term m_term;

  friend bool operator==(const PromotionRequest&,
                         const PromotionRequest&) = default;
};

// Asks a member to pull its log from the primary of a term.
struct FollowRequest {
  Term m_term;
  Address m_primary;

  friend bool operator==(const FollowRequest&, const FollowRequest&) = default;
};

// A control request to a member.
using ControlRequest =
    std::variant<StatusRequest, GrantRequest, PromotionRequest, FollowRequest>;

// The answer to a PromotionRequest or a FollowRequest; m_done is false if the
// member refused.
struct ControlDone {
  bool m_done = false;

  friend bool operator==(const ControlDone&, const ControlDone&) = default;
};

// The member gave no answer.
struct ControlFailed {
  // The member's address actively refused the connection.
  bool m_refused = false;
  // False if the request was not sent because no connection was free. The
  // failure then says nothing about the member.
  bool m_asked = true;

  friend bool operator==(const ControlFailed&, const ControlFailed&) = default;
};

using ControlAnswer =
    std::variant<MemberStatus, GrantAnswer, ControlDone, ControlFailed>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_DATABASE_ANSWER_H_
