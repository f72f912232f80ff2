#ifndef SRC_GATEWAY_ENGINE_HOOKS_H_
#define SRC_GATEWAY_ENGINE_HOOKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/answer.h"
#include "src/gateway/answer_check.h"
#include "src/gateway/forwarding.h"
#include "src/gateway/ids.h"
#include "src/gateway/locality/spill_control.h"
#include "src/gateway/member.h"
#include "src/gateway/member_status.h"
#include "src/gateway/session.h"
#include "src/gateway/statement.h"

namespace jasminelug::gateway {

// Summary of a statement that has ended, for logs and metrics.
struct StatementSummary {
  friend bool operator==(const StatementSummary&,
                         const StatementSummary&) = default;

  std::string m_statement_id;
  DatabaseName m_database;
  CustomerName m_customer;
  // The member that the statement was last placed on; empty if none.
  MemberId m_member;
  // The instance that the statement was last forwarded to; empty if it was not
  // forwarded.
  InstanceId m_holder;
  // Set if this instance has sent the statement to a member.
  StatementEvidence m_evidence{};
  int m_attempts = 0;
  Duration m_time{0};
  Duration m_objective{0};
  bool m_completed = false;
  ErrorCode m_code = ErrorCode::kFailed;
  std::string m_reason;
};

// An answer of a member that does not belong to the statement that it seems to
// answer, for logs.
struct UnexpectedAnswer {
  friend bool operator==(const UnexpectedAnswer&,
                         const UnexpectedAnswer&) = default;

  MemberId m_member;
  ConnectionId m_connection;
  // Number of answers that the connection had received before.
  std::uint64_t m_answers_before = 0;
  AnswerFit m_fit = AnswerFit::kUnfitting;
  // The caller's statement that uses the connection; empty if there is none.
  std::string m_statement_id;
  // Number of statements on the connection that are not answered yet.
  std::size_t m_unanswered = 0;
  // The answer: its signature and number of rows, or its error.
  std::string m_signature;
  std::size_t m_rows = 0;
  std::optional<ErrorCode> m_error;
};

// Functions through which the engine acts on its surroundings. None of them may
// call back into the engine.
struct EngineHooks {
  // Answers the oldest unanswered statement of the session.
  std::function<void(SessionId, const Answer&)> m_answer;
  // Closes a session. All its statements are answered, except if the caller has
  // sent too many of them ahead of their answers.
  std::function<void(SessionId)> m_close_session;
  // Connects to a member on behalf of a customer. OnConnectionOpened() or
  // OnConnectionClosed() follows.
  std::function<void(ConnectionId, const Member&, const CustomerName&)>
      m_open_connection;
  // Sends statements on a member connection, all in one write.
  std::function<void(ConnectionId, const std::vector<MemberStatement>&)> m_send;
  // Closes a member connection. The engine must not be called for it any more.
  std::function<void(ConnectionId)> m_close_connection;
  // Parses the row of a member's status; returns nullopt if it is malformed.
  std::function<std::optional<MemberStatus>(const std::string& row)>
      m_read_status;
  // Delivers a member's status and the time at which the request for it was
  // sent; see Engine::RequestStatus().
  std::function<void(const MemberId&, const MemberStatus&, Time requested)>
      m_status;
  // Sends a message to another instance. The message may be lost.
  std::function<void(const InstanceId&, const ForwardMessage&)> m_forward;
  // Reports the end of a statement.
  std::function<void(const StatementSummary&)> m_report;
  // Reports that statements of the group begin to leave the region because of
  // load, or that they no longer do, and what this was decided from.
  std::function<void(const GroupName&, const SpillInput&, bool begins)>
      m_spill_changed;
  // Reports an answer that was not used.
  std::function<void(const UnexpectedAnswer&)> m_unexpected_answer;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_ENGINE_HOOKS_H_
