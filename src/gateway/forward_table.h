#ifndef SRC_GATEWAY_FORWARD_TABLE_H_
#define SRC_GATEWAY_FORWARD_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/gateway/forwarding.h"
#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// An operation that this instance has forwarded to a holder.
struct Forward {
  friend bool operator==(const Forward&, const Forward&) = default;

  SessionId m_session;
  InstanceId m_holder;
  // Number of the statement of the operation that was sent last; 0 if none was.
  std::int32_t m_number = 0;
  // Whether that statement is not answered yet.
  bool m_unanswered = false;
  // When that statement was sent or, if later, when the holder last confirmed
  // that it is running it.
  Time m_confirmed{};

  // Returns whether `answer`, which came from `holder`, is the one to the
  // unanswered statement.
  bool Expects(const InstanceId& holder, const ForwardedAnswer& answer) const {
    return m_holder == holder && m_unanswered &&
           (!answer.m_number || answer.m_number == m_number);
  }
};

// Tracks the operations that this instance has forwarded, and which holders
// respond.
//
// A holder may be killed, frozen or cut off by the network. Statements that it
// does not confirm for kConfirmationTimeout are given up, so that reads are run
// elsewhere and callers of writes learn without further delay that the outcome
// is unknown. The holder is then unresponsive, and no operation is forwarded to
// it until a message from it arrives.
class ForwardTable {
 public:
  // Makes the table of one run of the instance `self`.
  //
  // The operations of a run are numbered from a start that depends on the
  // instance and its incarnation. A holder may answer an operation after its
  // sender was restarted, or at an address that another instance has taken
  // over; its number is then unknown there. The ranges of two of N runs with M
  // operations each overlap with a probability below N^2 M / 2^64.
  ForwardTable(const InstanceId& self, Incarnation incarnation);

  // Maximum time without a confirmation. A holder confirms what it runs every
  // ForwardHost::kProgressInterval; the rest allows for a holder that gets no
  // processor time for a tenth of a second.
  static constexpr Duration kConfirmationTimeout = 350ms;
  // Time between two pings to an unresponsive holder.
  static constexpr Duration kPingInterval = 250ms;
  // Time for which no operation is forwarded to a holder after it has refused
  // one because another instance may be able to run it.
  static constexpr Duration kRefusalBackoff = 200ms;

  // Adds an operation that is forwarded to `holder`, and returns its id.
  OperationId Add(SessionId session, const InstanceId& holder);

  // Returns the operation, or null.
  const Forward* Find(OperationId id) const;

  void Remove(OperationId id) { m_forwards.erase(id); }

  // Records that a statement of the operation is sent, and returns its number.
  StatementNumber NoteSent(OperationId id, Time now);
  // Records that the statement was answered.
  void NoteAnswered(OperationId id);

  // Records that the holder has confirmed the operations in `progress`.
  void NoteProgress(const InstanceId& holder,
                    const ForwardProgress& progress,
                    Time now);
  // Records that a message from the holder has arrived.
  void NoteResponsive(const InstanceId& holder) {
    m_unresponsive.erase(holder);
  }
  // Records that the holder has refused an operation that another instance may
  // be able to run.
  void NoteRefused(const InstanceId& holder, Time now);
  // Records that the connection to the holder was lost or refused. The holder
  // is then unresponsive, and its unanswered statements count as unconfirmed.
  void NoteLost(const InstanceId& holder, Time now);

  // Returns the operations whose statements were not confirmed in time and are
  // to be given up. Marks their holders as unresponsive.
  std::vector<OperationId> TakeUnconfirmed(Time now);

  // Returns whether operations may be forwarded to `holder`.
  bool IsUsable(const InstanceId& holder, Time now) const;

  // Returns the unresponsive holders that are to be pinged now.
  std::vector<InstanceId> TakeDuePings(Time now);

 private:
  std::map<OperationId, Forward> m_forwards;
  // The unresponsive holders, and when each was last pinged or, before the
  // first ping, became unresponsive.
  std::map<InstanceId, Time> m_unresponsive;
  std::map<InstanceId, Time> m_avoided_until;
  std::uint64_t m_next_id;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_FORWARD_TABLE_H_
