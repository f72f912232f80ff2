#include "src/core/reclaimer.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "src/core/credit_exchange.h"
#include "src/core/lease_extension_manager.h"

namespace jasminelug::core {
namespace {

// Maximum random delay before an instance starts to reclaim a lease. With
// different delays, usually only one instance does it.
constexpr Duration kMaxStartDelay = 1s;
constexpr Duration kRetryInterval = 500ms;

}  // namespace

void Reclaimer::OnTick(Context& context) {
  const Time now = context.Now();
  std::erase_if(m_attempts, [this, now](const auto& entry) {
    const ObservedLease* lease = m_leases.Find(entry.first);
    return !m_leases.HasLapsed(entry.first, now) ||
           lease->m_version != entry.second.m_version;
  });
  for (const InstanceId& holder : m_leases.Lapsed(now)) {
    if (!m_names_holder(holder)) {
      continue;
    }
    const auto [attempt, is_new] = m_attempts.try_emplace(holder);
    if (is_new) {
      attempt->second.m_version = m_leases.Find(holder)->m_version;
      attempt->second.m_start = now + context.RandomUpTo(kMaxStartDelay);
    }
    Advance(holder, attempt->second, context);
  }
}

void Reclaimer::OnLeaseRevocationAnswer(const PeerSender& from,
                                        const LeaseRevocationAnswer& answer) {
  const auto attempt = m_attempts.find(answer.m_holder);
  if (attempt == m_attempts.end() || !answer.m_granted ||
      attempt->second.m_number != answer.m_number) {
    return;
  }
  attempt->second.m_revoked.insert(from);
}

void Reclaimer::OnPeerStopped(const InstanceId& peer) {
  for (auto& [holder, attempt] : m_attempts) {
    const ObservedLease* lease = m_leases.Find(holder);
    if (lease == nullptr) {
      continue;
    }
    for (const PeerSender& member : lease->m_record.m_cell) {
      if (member.m_instance == peer) {
        attempt.m_revoked.insert(member);
      }
    }
  }
}

void Reclaimer::OnPlatformAnswered(CallId call,
                                   const PlatformAnswer& answer,
                                   Context& context) {
  const auto found = m_calls.find(call);
  const InstanceId holder = found->second;
  m_calls.erase(found);
  const auto attempt = m_attempts.find(holder);
  if (attempt == m_attempts.end()) {
    return;
  }
  attempt->second.m_delete_call.reset();
  attempt->second.m_next_attempt = context.Now() + kRetryInterval;
  if (std::holds_alternative<ObjectAnswer>(answer)) {
    TimelineEvent event;
    event.m_kind = TimelineKind::kLeaseReclaimed;
    event.m_peer = holder;
    context.Record(std::move(event));
  }
}

void Reclaimer::Advance(const InstanceId& holder,
                        Attempt& attempt,
                        Context& context) {
  const Time now = context.Now();
  if (now < attempt.m_start || attempt.m_delete_call) {
    return;
  }
  const ObservedLease& lease = *m_leases.Find(holder);
  const LeaseCell& cell = lease.m_record.m_cell;
  CountStoppedMembers(cell, attempt);
  const auto revocations =
      std::count_if(cell.begin(), cell.end(), [&attempt](const auto& member) {
        return attempt.m_revoked.contains(member);
      });
  const bool majority = static_cast<size_t>(revocations) * 2 > cell.size();
  if (!majority && !cell.empty() && !m_skip_revocation) {
    RequestRevocations(holder, lease, attempt, context);
    return;
  }
  if (!attempt.m_majority_since) {
    attempt.m_majority_since = now;
  }
  // With m_skip_revocation, which only tests set, the lease is reclaimed
  // without waiting for the end of lease extensions and credit that the holder
  // may still use.
  const Duration wait = m_skip_revocation
                            ? Duration::zero()
                            : WithClockDriftMargin(kLeaseExtensionDuration) +
                                  WithClockDriftMargin(kCreditValidity);
  if (now > *attempt.m_majority_since + wait && now >= attempt.m_next_attempt) {
    Delete(holder, attempt, context);
  }
}

// Counts the cell members that have stopped as having revoked the lease. If a
// member's lease belongs to a later incarnation, the listed incarnation has
// stopped, because the later process listens on the same address.
void Reclaimer::CountStoppedMembers(const LeaseCell& cell,
                                    Attempt& attempt) const {
  for (const PeerSender& member : cell) {
    const ObservedLease* lease = m_leases.Find(member.m_instance);
    if (lease != nullptr &&
        lease->m_record.m_incarnation > member.m_incarnation) {
      attempt.m_revoked.insert(member);
    }
  }
}

void Reclaimer::RequestRevocations(const InstanceId& holder,
                                   const ObservedLease& lease,
                                   Attempt& attempt,
                                   Context& context) {
  if (context.Now() < attempt.m_next_attempt) {
    return;
  }
  attempt.m_next_attempt = context.Now() + kRetryInterval;
  if (attempt.m_number == 0) {
    attempt.m_number = context.Random()() | 1U;
  }
  const LeaseRevocationRequest request{attempt.m_number, holder,
                                       lease.m_record.m_incarnation,
                                       attempt.m_version};
  for (const PeerSender& member : lease.m_record.m_cell) {
    if (member == m_self) {
      OnLeaseRevocationAnswer(m_self,
                              m_local_revocation(request, context.Now()));
    } else if (!attempt.m_revoked.contains(member)) {
      context.Send(member.m_instance, request);
    }
  }
}

void Reclaimer::Delete(const InstanceId& holder,
                       Attempt& attempt,
                       Context& context) {
  DeleteObject request;
  request.m_key = {ObjectKind::kInstance, holder.str()};
  request.m_expected_version = attempt.m_version;
  request.m_write_id =
      "reclaim/" + holder.str() + "/" + std::to_string(context.Random()());
  attempt.m_delete_call =
      context.CallThePlatform(CallOwner::kShares, std::move(request));
  m_calls[*attempt.m_delete_call] = holder;
}

}  // namespace jasminelug::core
