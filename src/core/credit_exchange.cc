#include "src/core/credit_exchange.h"

#include <algorithm>
#include <utility>

#include "src/core/token_bucket.h"

namespace jasminelug::core {
namespace {

constexpr size_t kMaxPendingRequests = 2;
// Minimum interval between rounds of requests for credit of one allowance.
// Limits the messages to kMaxPendingRequests per interval and allowance.
constexpr Duration kRequestInterval = 10ms;
// Bounds of the time before a peer that had no credit is asked again. The time
// doubles with each such answer.
constexpr Duration kMinBackoff = 40ms;
constexpr Duration kMaxBackoff = 640ms;
// Estimated credit of a peer that has never been asked, and the estimated
// growth per millisecond since the last answer of one that has, in
// millicredits.
constexpr uint64_t kUnknownPeerCredit = 1'000'000;
constexpr uint64_t kGainPerMillisecond = 10;
// Random part of the estimate, in millicredits; spreads requests over peers
// with similar estimates.
constexpr uint64_t kEstimateJitter = 200;

}  // namespace

void CreditExchange::GrantTransfer(const PeerSender& to,
                                   uint64_t number,
                                   uint64_t amount,
                                   Time now) {
  if (amount > 0) {
    m_outgoing_transfers.push_back(
        {to, number, amount, now + WithClockDriftMargin(kCreditValidity)});
  }
}

bool CreditExchange::AcceptRequest(const PeerSender& from, uint64_t number) {
  AcceptedRequest& last = m_last_accepted[from.m_instance];
  if (from.m_incarnation < last.m_incarnation) {
    return false;
  }
  if (from.m_incarnation == last.m_incarnation && number <= last.m_number) {
    return false;
  }
  last = {from.m_incarnation, number};
  std::erase_if(m_outgoing_transfers,
                [&from](const OutgoingTransfer& transfer) {
                  return transfer.m_to == from;
                });
  return true;
}

uint64_t CreditExchange::InFlight(Time now) {
  std::erase_if(m_outgoing_transfers, [now](const OutgoingTransfer& transfer) {
    return now > transfer.m_expiry;
  });
  uint64_t sum = 0;
  for (const OutgoingTransfer& transfer : m_outgoing_transfers) {
    sum += transfer.m_amount;
  }
  return sum;
}

bool CreditExchange::CanRequest(Time now) {
  if (now < m_next_send) {
    return false;
  }
  CloseExpired(now);
  return m_pending_requests.size() < kMaxPendingRequests;
}

uint64_t CreditExchange::RequestCredit(const AllowanceKey& key,
                                       uint64_t amount,
                                       const std::vector<InstanceId>& peers,
                                       uint64_t& last_number,
                                       Context& context) {
  const Time now = context.Now();
  m_next_send = now + kRequestInterval;
  m_answered_in_full = false;
  const size_t max_peers = amount <= kCreditCost ? 1 : kMaxPendingRequests;
  const std::vector<InstanceId> chosen = ChoosePeers(peers, max_peers, context);
  uint64_t left_over = 0;
  for (const InstanceId& peer : chosen) {
    left_over += DropReceived(peer, now);
    const uint64_t number = ++last_number;
    const uint64_t part = (amount + chosen.size() - 1) / chosen.size();
    m_pending_requests[peer] = {number, part, now + kCreditValidity};
    context.Send(peer, CreditRequest{number, key, part});
  }
  return left_over;
}

uint64_t CreditExchange::AcceptTransfer(const PeerSender& from,
                                        const CreditTransfer& answer,
                                        bool accept_late,
                                        Time now) {
  const auto request = m_pending_requests.find(from.m_instance);
  const bool open = request != m_pending_requests.end() &&
                    request->second.m_number == answer.m_number &&
                    now < request->second.m_expiry;
  if (!open && !accept_late) {
    return 0;
  }
  const Time expiry = open ? request->second.m_expiry : now + kCreditValidity;
  const bool in_full =
      open && answer.m_millicredits >= request->second.m_amount;
  if (open) {
    m_pending_requests.erase(request);
  }
  m_answered_in_full = m_answered_in_full || in_full;
  RecordAnswer(from.m_instance, answer.m_millicredits, in_full, now);
  if (answer.m_millicredits > 0) {
    m_received_transfers.push_back(
        {from.m_instance, answer.m_millicredits, expiry});
  }
  return answer.m_millicredits;
}

uint64_t CreditExchange::ReceivedCredit(Time now) const {
  uint64_t sum = 0;
  for (const ReceivedTransfer& transfer : m_received_transfers) {
    sum += now < transfer.m_expiry ? transfer.m_amount : 0;
  }
  return sum;
}

uint64_t CreditExchange::TakeReceived(uint64_t amount, Time now) {
  uint64_t taken = 0;
  for (ReceivedTransfer& transfer : m_received_transfers) {
    if (now < transfer.m_expiry) {
      const uint64_t part = std::min(transfer.m_amount, amount - taken);
      transfer.m_amount -= part;
      taken += part;
    }
  }
  std::erase_if(m_received_transfers, [now](const ReceivedTransfer& transfer) {
    return transfer.m_amount == 0 || now >= transfer.m_expiry;
  });
  return taken;
}

bool CreditExchange::AllPeersEmpty(const std::vector<InstanceId>& peers,
                                   Time now) const {
  return std::all_of(peers.begin(), peers.end(), [&](const InstanceId& peer) {
    const auto found = m_peer_credit.find(peer);
    return found != m_peer_credit.end() && found->second.m_last_amount == 0 &&
           now < found->second.m_next_request + kMaxBackoff;
  });
}

bool CreditExchange::HasPendingRequest(Time now) const {
  return std::any_of(
      m_pending_requests.begin(), m_pending_requests.end(),
      [now](const auto& entry) { return now < entry.second.m_expiry; });
}

std::vector<InstanceId> CreditExchange::ChoosePeers(
    const std::vector<InstanceId>& peers,
    size_t max_peers,
    Context& context) const {
  struct Candidate {
    uint64_t m_weight;
    InstanceId m_peer;
  };
  std::vector<Candidate> candidates;
  for (const InstanceId& peer : peers) {
    const auto known = m_peer_credit.find(peer);
    const bool paused = known != m_peer_credit.end() &&
                        context.Now() < known->second.m_next_request;
    if (paused || m_pending_requests.contains(peer)) {
      continue;
    }
    const uint64_t estimate = EstimateCredit(peer, context.Now());
    candidates.push_back(
        {estimate + context.Random()() % kEstimateJitter, peer});
  }
  const size_t open = std::min(kMaxPendingRequests, m_pending_requests.size());
  const size_t count =
      std::min({candidates.size(), kMaxPendingRequests - open, max_peers});
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      return a.m_weight > b.m_weight;
                    });
  std::vector<InstanceId> chosen;
  for (size_t i = 0; i < count; ++i) {
    chosen.push_back(candidates[i].m_peer);
  }
  return chosen;
}

// Estimates the credit of a peer: the growth since its last answer, plus the
// amount of that answer if it was all that had been requested.
uint64_t CreditExchange::EstimateCredit(const InstanceId& peer,
                                        Time now) const {
  const auto known = m_peer_credit.find(peer);
  if (known == m_peer_credit.end()) {
    return kUnknownPeerCredit;
  }
  const PeerCredit& peer_credit = known->second;
  const auto elapsed = static_cast<uint64_t>(
      std::max<Duration::rep>((now - peer_credit.m_last_answer) / 1ms, 0));
  return elapsed * kGainPerMillisecond +
         (peer_credit.m_last_in_full ? peer_credit.m_last_amount : 0);
}

uint64_t CreditExchange::DropReceived(const InstanceId& from, Time now) {
  uint64_t left_over = 0;
  std::erase_if(m_received_transfers, [&](const ReceivedTransfer& transfer) {
    if (transfer.m_from != from) {
      return false;
    }
    left_over += now < transfer.m_expiry ? transfer.m_amount : 0;
    return true;
  });
  return left_over;
}

void CreditExchange::CloseExpired(Time now) {
  std::erase_if(m_pending_requests, [this, now](const auto& entry) {
    if (now < entry.second.m_expiry) {
      return false;
    }
    RecordAnswer(entry.first, 0, false, now);
    return true;
  });
}

void CreditExchange::RecordAnswer(const InstanceId& from,
                                  uint64_t amount,
                                  bool in_full,
                                  Time now) {
  PeerCredit& peer_credit = m_peer_credit[from];
  peer_credit.m_last_in_full = in_full;
  peer_credit.m_last_answer = now;
  peer_credit.m_last_amount = amount;
  peer_credit.m_backoff = amount > 0 ? Duration::zero()
                                     : std::clamp(peer_credit.m_backoff * 2,
                                                  kMinBackoff, kMaxBackoff);
  peer_credit.m_next_request = now + peer_credit.m_backoff;
}

}  // namespace jasminelug::core
