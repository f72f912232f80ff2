#ifndef SRC_CORE_CREDIT_EXCHANGE_H_
#define SRC_CORE_CREDIT_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/core/context.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Time for which transferred credit may be used. The receiver counts it from
// when it sent its request.
inline constexpr Duration kCreditValidity = 200ms;

// Tracks transfers of credit of one allowance between this instance and its
// peers.
//
// As a sender of credit it reports how much is in flight, that is, transferred
// and possibly not used yet. As a receiver it holds credit until it is used or
// expires. It accepts one answer to each pending request, until the request
// expires. A new request to a peer gives up what is left of that peer's earlier
// transfers, so the peer may stop counting them as in flight.
class CreditExchange {
 public:
  // Records that `amount` is transferred to `to` in answer to its request
  // `number`.
  void GrantTransfer(const PeerSender& to,
                     uint64_t number,
                     uint64_t amount,
                     Time now);

  // Returns whether `number` is later than every request handled from this
  // peer. If so, ends the transfers in flight that answered its earlier
  // requests.
  bool AcceptRequest(const PeerSender& from, uint64_t number);

  // Returns the amount of transferred credit that peers may not have used yet.
  uint64_t InFlight(Time now);

  // Returns whether another request may be sent: fewer than the maximum are
  // pending and the minimum interval since the last request has passed.
  bool CanRequest(Time now);

  // Sends requests for `amount`: to a single peer if it is at most one credit,
  // otherwise split evenly over up to kMaxPendingRequests peers. Request
  // numbers continue from `last_number`. Returns the received credit given up
  // by these requests, which the caller may put into its bucket.
  uint64_t RequestCredit(const AllowanceKey& key,
                         uint64_t amount,
                         const std::vector<InstanceId>& peers,
                         uint64_t& last_number,
                         Context& context);

  // Handles an answer. Returns the accepted amount; 0 if the request is not
  // pending, unless `accept_late` is set.
  uint64_t AcceptTransfer(const PeerSender& from,
                          const CreditTransfer& answer,
                          bool accept_late,
                          Time now);

  // Returns the received credit that may be used at `now`.
  uint64_t ReceivedCredit(Time now) const;

  // Takes up to `amount` of the received credit. Returns the amount taken.
  uint64_t TakeReceived(uint64_t amount, Time now);

  // Returns whether each peer had no credit when it was last asked, and was
  // asked recently.
  bool AllPeersEmpty(const std::vector<InstanceId>& peers, Time now) const;

  // Returns whether any answer since the last request contained the full amount
  // requested.
  bool WasAnsweredInFull() const { return m_answered_in_full; }

  // Returns whether a request that has not expired waits for its answer.
  bool HasPendingRequest(Time now) const;

 private:
  struct OutgoingTransfer {
    PeerSender m_to;
    uint64_t m_number = 0;
    uint64_t m_amount = 0;
    Time m_expiry;
  };

  struct PendingRequest {
    uint64_t m_number = 0;
    uint64_t m_amount = 0;
    Time m_expiry;
  };

  struct ReceivedTransfer {
    InstanceId m_from;
    uint64_t m_amount = 0;
    Time m_expiry;
  };

  // The latest request accepted from a peer.
  struct AcceptedRequest {
    Incarnation m_incarnation;
    uint64_t m_number = 0;
  };

  // What this instance knows about the credit that a peer can transfer.
  struct PeerCredit {
    uint64_t m_last_amount = 0;
    bool m_last_in_full = false;
    Time m_last_answer;
    Duration m_backoff{};
    Time m_next_request;
  };

  std::vector<InstanceId> ChoosePeers(const std::vector<InstanceId>& peers,
                                      size_t max_peers,
                                      Context& context) const;
  uint64_t EstimateCredit(const InstanceId& peer, Time now) const;
  uint64_t DropReceived(const InstanceId& from, Time now);
  void CloseExpired(Time now);
  void RecordAnswer(const InstanceId& from,
                    uint64_t amount,
                    bool in_full,
                    Time now);

  std::vector<OutgoingTransfer> m_outgoing_transfers;
  std::map<InstanceId, AcceptedRequest> m_last_accepted;
  std::map<InstanceId, PendingRequest> m_pending_requests;
  std::vector<ReceivedTransfer> m_received_transfers;
  std::map<InstanceId, PeerCredit> m_peer_credit;
  Time m_next_send;
  bool m_answered_in_full = false;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CREDIT_EXCHANGE_H_
