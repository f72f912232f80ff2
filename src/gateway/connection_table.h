#ifndef SRC_GATEWAY_CONNECTION_TABLE_H_
#define SRC_GATEWAY_CONNECTION_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/answer_check.h"
#include "src/gateway/ids.h"
#include "src/gateway/statement.h"

namespace jasminelug::gateway {

// Purpose of a statement that was sent on a member connection.
enum class SentPurpose {
  kValue,      // Sets or resets a value of the session.
  kPrepare,    // Prepares what the session's statement executes.
  kBegin,      // Opens the session's transaction.
  kStatement,  // The session's own statement.
  kCommand,    // Is a command of the gateway itself.
  kBarrier,    // Shows that all that was sent before was answered.
};

// A statement that was sent on a member connection and is not answered yet.
struct SentStatement {
  SentPurpose m_purpose = SentPurpose::kStatement;
  Time m_sent;
  ExpectedAnswer m_expected{};
  // Whether an error is known to answer this statement. An error to an earlier
  // value must not tell that a write or commit did not run.
  bool m_own_error = true;
  // Whether the member was the verified primary when the statement was sent.
  bool m_to_primary = false;
};

// An error that may answer an earlier statement than `m_sent`.
struct DoubtedError {
  SentStatement m_sent;
  Answer m_answer;
};

// A connection to one member for one customer. It cannot change its customer,
// because the member is told the customer when the connection starts.
struct Connection {
  enum class Stage { kOpening, kIdle, kInUse };

  ConnectionId m_id;
  MemberId m_member;
  GroupName m_group;
  CustomerName m_customer;
  Stage m_stage = Stage::kOpening;
  Time m_opened;
  Time m_last_used;
  std::optional<SessionId> m_session;
  // Session values that the member holds for this connection, and names of the
  // statements that are prepared on it.
  std::map<std::string, std::string> m_values;
  std::map<PreparedShape, std::string> m_prepared;
  bool m_in_transaction = false;
  // Whether the connection was opened to request the member's status.
  bool m_is_status_request = false;
  // Whether no other session may use the connection.
  bool m_is_retired = false;
  std::deque<SentStatement> m_sent;
  // Signatures of the answers that were received, and number of all answers.
  SignatureHistory m_signatures;
  std::uint64_t m_answers = 0;
  // Whether an answer without signature was received. It may come again.
  bool m_has_plain_answer = false;
  // Whether the answer to a value may still be to come, because the repetition
  // of an earlier one may have been taken for it. A single value on a
  // connection without such answers leaves no doubt.
  bool m_may_await_values = false;
  // Set until a barrier shows which statement the error answers.
  std::optional<DoubtedError> m_doubted;
  std::uint64_t m_next_prepared = 1;

  // Returns whether the connection is used to request the member's status.
  bool RequestsStatus() const {
    return m_is_status_request ||
           (!m_sent.empty() &&
            m_sent.back().m_purpose == SentPurpose::kCommand);
  }
};

// Holds the connections of this instance to members.
class ConnectionTable {
 public:
  // Adds a connection in stage kOpening.
  Connection* Add(const MemberId& member,
                  const GroupName& group,
                  const CustomerName& customer,
                  Time now);

  // Returns the connection, or null if it does not exist.
  Connection* Find(ConnectionId id);

  // Removes the connection without closing it.
  void Remove(ConnectionId id) { m_connections.erase(id); }

  // Returns an idle connection for `customer`, or null: one that holds `values`
  // if there is one, and of several the most recently used.
  Connection* FindIdle(const MemberId& member,
                       const CustomerName& customer,
                       const std::map<std::string, std::string>& values);

  // Returns the least recently used idle connection to `member`, or null.
  Connection* FindOldestIdle(const MemberId& member);

  // Returns the ids of all connections, or of those to one member.
  std::vector<ConnectionId> All() const;
  std::vector<ConnectionId> AllOf(const MemberId& member) const;

  // Returns whether no connection to `member` is in use, other than for
  // requests of its status.
  bool AreAllIdle(const MemberId& member) const;

  // Returns how many connections to the member are opening or have unanswered
  // statements. Each of them occupies, or will occupy, a slot of the member.
  int CountInFlight(const MemberId& member) const;

  // Returns when the oldest request to the member that is still unanswered was
  // sent: the first unanswered statement of a connection, or the opening of
  // one. Returns nullopt if there is none.
  std::optional<Time> OldestUnanswered(const MemberId& member) const;

  std::size_t size() const { return m_connections.size(); }

 private:
  std::map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  std::uint64_t m_next_id = 1;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CONNECTION_TABLE_H_
