#ifndef SRC_CORE_ACTIVE_REQUEST_H_
#define SRC_CORE_ACTIVE_REQUEST_H_

#include <cstdint>
#include <optional>

#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/confirmation_queue.h"
#include "src/core/database_answer.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/session_token.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The stage of a request between its receipt and its answer.
enum class RequestStage {
  // Waits for credit from its customer's rate limit.
  kWaitingForCredit,
  // Waits for a connection.
  kQueued,
  // Waits for a replica to catch up, or for its next attempt.
  kDelayed,
  // A member runs it.
  kRunning,
  // Has run, and waits for confirmation by a majority of the group.
  kConfirming,
};

// What the next attempt of a request runs.
enum class RequestPurpose {
  // The caller's operation.
  kServe,
  // A read that confirms an earlier write with the same request id: the id is
  // already in the table of requests, so the operation must not run again.
  kConfirmEarlier,
  // An insert of the request's id alone, after a commit with an unknown
  // outcome. If the id is already in the table, the commit took effect; if the
  // insert succeeds, the commit can never take effect.
  kFenceCommit,
};

// The state of a request between its receipt and its answer.
struct ActiveRequest {
  RequestHandle m_handle;
  CallerRequest m_body;
  AllowanceKey m_allowance;
  Profile m_profile;
  SessionToken m_token;
  Time m_received;
  Time m_deadline;

  RequestStage m_stage = RequestStage::kWaitingForCredit;
  RequestPurpose m_purpose = RequestPurpose::kServe;
  // The replica to read from; nullopt means the primary.
  std::optional<MemberId> m_replica;
  ConnectionId m_connection;
  Time m_sent;
  // When a request in stage kDelayed continues.
  Time m_resume_at;
  uint32_t m_attempts = 0;
  // Whether an attempt may have taken effect. Reset when the effect is ruled
  // out.
  bool m_may_have_run = false;
  // The result that waits for confirmation, and the member that returned it.
  std::optional<StatementDone> m_done;
  MemberId m_member;
  ConfirmationId m_confirmation;
  // The caller has disconnected, so the request ends without an answer.
  bool m_is_abandoned = false;

  // Returns whether the request is a single read-only statement outside an
  // explicit transaction.
  bool IsSingleRead() const {
    return m_body.m_operation == Operation::kStatement &&
           m_body.m_transaction.empty() && m_body.m_read_only;
  }

  // Returns whether the request belongs to an explicit transaction.
  bool IsInTransaction() const { return !m_body.m_transaction.empty(); }

  // Returns whether the token may not include the session's last write: either
  // an answer to this session may have been lost, or one of its writes has an
  // unknown outcome.
  bool IsTokenUncertain() const {
    const bool has_gap = m_body.m_sequence && *m_body.m_sequence > 1 &&
                         m_token.sequence() + 1 != *m_body.m_sequence;
    return has_gap || m_token.MarkOf(m_body.m_database).m_uncertain;
  }
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_ACTIVE_REQUEST_H_
