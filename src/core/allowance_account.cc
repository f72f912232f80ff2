#include "src/core/allowance_account.h"

#include <algorithm>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

// An instance keeps credit for this time of its recent use and transfers only
// what exceeds it.
constexpr Duration kReservedTime = 200ms;
// Credit is requested in advance when less is left than the use during this
// time.
constexpr Duration kLowWaterTime = 50ms;
// A request that may wait at least this long waits even if no peer had credit
// when last asked.
constexpr Duration kMinTransferWait = 150ms;
// An instance that missed credit within this time transfers none.
constexpr Duration kMissBackoff = 100ms;

uint64_t AmountOver(uint64_t rate, Duration time) {
  return rate * static_cast<uint64_t>(time.count()) / 1'000'000;
}

}  // namespace

void AllowanceAccount::SetShare(const ShareAmount& share, Time now) {
  if (share != m_share) {
    m_share = share;
  }
  ApplyShare(now);
}

bool AllowanceAccount::UsesAtMost(const ShareAmount& amount, Time now) {
  return FitsIn(m_share, amount) && m_exchange.InFlight(now) <= amount.m_burst;
}

bool AllowanceAccount::Take(Time now) {
  const uint64_t received = m_exchange.ReceivedCredit(now);
  const uint64_t from_received = std::min(received, kCreditCost);
  if (!m_bucket.Take(kCreditCost - from_received, now)) {
    ++m_misses;
    m_last_miss = now;
    m_has_missed = true;
    return false;
  }
  if (from_received > 0) {
    m_exchange.TakeReceived(from_received, now);
  }
  m_demand.Add(kCreditCost, now);
  // Requests are served in order, so those that missed credit before have been
  // served or have left the queue.
  m_misses = 0;
  m_previous_misses = 0;
  return true;
}

Duration AllowanceAccount::TimeUntilOwnCredit(Duration limit, Time now) const {
  const uint64_t ahead = std::max<uint64_t>(m_misses, 1);
  return m_bucket.TimeUntil(ahead * kCreditCost, limit, now);
}

bool AllowanceAccount::IsRunningLow(Time now) const {
  const uint64_t recent = m_demand.RecentRate();
  const uint64_t low = kCreditCost + AmountOver(recent, kLowWaterTime);
  return recent > m_bucket.rate() &&
         m_bucket.Level(now) + m_exchange.ReceivedCredit(now) < low;
}

void AllowanceAccount::RequestIfShort(const std::vector<InstanceId>& peers,
                                      uint64_t& last_number,
                                      Context& context) {
  const Time now = context.Now();
  const uint64_t misses = std::max(m_misses, m_previous_misses);
  const uint64_t recent = m_demand.RecentRate();
  if ((misses == 0 && !IsRunningLow(now)) || !m_exchange.CanRequest(now)) {
    return;
  }
  // Doubles the requested amount only if the last one was received in full and
  // has been used up.
  const bool doubles_size = misses > 0 && m_exchange.WasAnsweredInFull();
  m_request_size = doubles_size
                       ? std::min(m_request_size * 2, kCreditCost << 10U)
                       : kCreditCost;
  const uint64_t have = m_bucket.Level(now) + m_exchange.ReceivedCredit(now);
  const uint64_t needed = std::max({m_request_size, misses * kCreditCost,
                                    AmountOver(recent, kLowWaterTime)});
  const uint64_t amount = needed > have ? needed - have : kCreditCost;
  const uint64_t left_over =
      m_exchange.RequestCredit(m_key, amount, peers, last_number, context);
  m_bucket.Add(left_over, now);
}

bool AllowanceAccount::MayReceiveCredit(const std::vector<InstanceId>& peers,
                                        Duration max_wait,
                                        Time now) const {
  if (peers.empty()) {
    return false;
  }
  return max_wait >= kMinTransferWait || m_exchange.HasPendingRequest(now) ||
         !m_exchange.AllPeersEmpty(peers, now);
}

uint64_t AllowanceAccount::GrantTransfer(const PeerSender& from,
                                         const CreditRequest& request,
                                         Time now) {
  if (!m_exchange.AcceptRequest(from, request.m_number)) {
    return 0;
  }
  ApplyShare(now);
  if (m_has_missed && now < m_last_miss + kMissBackoff) {
    return 0;
  }
  m_demand.CloseWindows(now);
  const uint64_t reserved = AmountOver(m_demand.RecentRate(), kReservedTime);
  const uint64_t level = m_bucket.Level(now);
  const uint64_t amount =
      std::min(request.m_millicredits, level > reserved ? level - reserved : 0);
  // Transfers of less than one credit would mostly expire unused, spread over
  // many receivers.
  const uint64_t minimum = std::min(request.m_millicredits, kCreditCost);
  if (amount < minimum || amount == 0 || !m_bucket.Take(amount, now)) {
    return 0;
  }
  m_exchange.GrantTransfer(from, request.m_number, amount, now);
  ApplyShare(now);
  return amount;
}

bool AllowanceAccount::AcceptTransfer(const PeerSender& from,
                                      const CreditTransfer& answer,
                                      bool accept_late,
                                      Time now) {
  return m_exchange.AcceptTransfer(from, answer, accept_late, now) > 0;
}

void AllowanceAccount::DepositReceived(Time now) {
  const uint64_t level = m_bucket.Level(now);
  const uint64_t room =
      m_bucket.capacity() > level ? m_bucket.capacity() - level : 0;
  m_bucket.Add(m_exchange.TakeReceived(room, now), now);
}

void AllowanceAccount::OnTick(Time now) {
  if (m_misses == 0) {
    m_request_size = kCreditCost;
  }
  m_previous_misses = m_misses;
  m_misses = 0;
  m_demand.CloseWindows(now);
  ApplyShare(now);
}

uint64_t AllowanceAccount::LongTermDemand() const {
  const uint64_t used = m_demand.LongTermRate();
  return m_previous_misses > 0 ? used + used / 4 : used;
}

void AllowanceAccount::ApplyShare(Time now) {
  const uint64_t in_flight = m_exchange.InFlight(now);
  const uint64_t capacity =
      m_share.m_burst > in_flight ? m_share.m_burst - in_flight : 0;
  m_bucket.SetLimits(m_share.m_units, capacity, now);
  JASMINELUG_ASSERT(m_bucket.Level(now) <= capacity,
                    LEVEL_AND_CREDIT_IN_FLIGHT_FIT_IN_THE_BURST_SHARE);
}

}  // namespace jasminelug::core
