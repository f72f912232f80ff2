#ifndef SRC_CORE_ALLOWANCE_ACCOUNT_H_
#define SRC_CORE_ALLOWANCE_ACCOUNT_H_

#include <cstdint>
#include <vector>

#include "src/core/context.h"
#include "src/core/credit_exchange.h"
#include "src/core/demand_meter.h"
#include "src/core/peer_message.h"
#include "src/core/share_table.h"
#include "src/core/time.h"
#include "src/core/token_bucket.h"

namespace jasminelug::core {

// Admits requests of one allowance on this instance, from a token bucket that
// is filled at the rate of the instance's share and from credit that peers
// transfer to it.
//
// The bucket's level and the credit in flight to peers never exceed the burst
// share together, because the bucket's capacity is the burst share minus the
// credit in flight.
class AllowanceAccount {
 public:
  explicit AllowanceAccount(AllowanceKey key) : m_key(std::move(key)) {}

  // Sets the share that this instance may use from `now` on. The share is empty
  // while the instance is fenced.
  void SetShare(const ShareAmount& share, Time now);

  // Fills the bucket to its capacity. For tests only.
  void Fill(Time now) { m_bucket.Add(m_bucket.capacity(), now); }

  // Returns whether this instance uses no more than `amount`, including the
  // credit that is in flight to peers.
  bool UsesAtMost(const ShareAmount& amount, Time now);

  // Takes the cost of one request. Returns false and counts a miss if there is
  // not enough credit.
  bool Take(Time now);

  // Returns the time until the share's own refill covers all requests that have
  // missed credit since the last tick, at most `limit`.
  Duration TimeUntilOwnCredit(Duration limit, Time now) const;

  // Returns whether the recent use exceeds the share's rate and little credit
  // is left.
  bool IsRunningLow(Time now) const;

  // Sends peers a request for credit if requests have missed credit or
  // IsRunningLow().
  void RequestIfShort(const std::vector<InstanceId>& peers,
                      uint64_t& last_number,
                      Context& context);

  // Returns whether a peer may transfer credit within `max_wait`, as far as
  // this instance knows.
  bool MayReceiveCredit(const std::vector<InstanceId>& peers,
                        Duration max_wait,
                        Time now) const;

  // Debits the credit that this instance can spare in answer to `request` and
  // returns its amount; returns 0 if it can spare none.
  uint64_t GrantTransfer(const PeerSender& from,
                         const CreditRequest& request,
                         Time now);

  // Handles a peer's answer to a request for credit. Returns whether credit was
  // received. If `accept_late` is set, answers to requests that are no longer
  // pending are accepted too.
  bool AcceptTransfer(const PeerSender& from,
                      const CreditTransfer& answer,
                      bool accept_late,
                      Time now);

  // Returns whether requests have missed credit since the tick before the last
  // one.
  bool IsShort() const { return m_misses > 0 || m_previous_misses > 0; }

  // Moves received credit that has not been used yet into the bucket, where it
  // does not expire, as far as the bucket has room.
  void DepositReceived(Time now);

  // Starts a new count of the requests that miss credit.
  void OnTick(Time now);

  // Returns the use per second over about the last ten seconds, in
  // millicredits. Adds a quarter if requests have missed credit, because their
  // demand is not part of the use.
  uint64_t LongTermDemand() const;

  uint64_t Level(Time now) const { return m_bucket.Level(now); }

 private:
  void ApplyShare(Time now);

  AllowanceKey m_key;
  ShareAmount m_share;
  TokenBucket m_bucket;
  CreditExchange m_exchange;
  DemandMeter m_demand;
  // Requests that have missed credit since the last tick, and those counted
  // between the two ticks before.
  uint64_t m_misses = 0;
  uint64_t m_previous_misses = 0;
  Time m_last_miss;
  bool m_has_missed = false;
  uint64_t m_request_size = kCreditCost;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_ALLOWANCE_ACCOUNT_H_
