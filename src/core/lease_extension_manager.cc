#include "src/core/lease_extension_manager.h"

#include <algorithm>

namespace jasminelug::core {
namespace {

constexpr Duration kRequestInterval = 400ms;
// Extensions are requested when less than the lease duration divided by this is
// left of the lease.
constexpr int kRequestLeadDivisor = 3;

}  // namespace

void LeaseExtensionManager::OnOwnLease(const OwnLease& lease) {
  if (lease.m_version != m_lease.m_version ||
      lease.m_series != m_lease.m_series) {
    m_requests.clear();
    m_extended_until.clear();
  }
  m_lease = lease;
}

bool LeaseExtensionManager::IsLeaseValid(Time now) const {
  return m_lease.m_version > 0 && now < m_lease.m_valid_until;
}

bool LeaseExtensionManager::MayUse(Time now) const {
  if (IsLeaseValid(now)) {
    return true;
  }
  if (m_lease.m_version == 0 || !HasMajority(m_lease.m_cell, now)) {
    return false;
  }
  return std::all_of(
      m_lease.m_pending_cells.begin(), m_lease.m_pending_cells.end(),
      [this, now](const LeaseCell& cell) { return HasMajority(cell, now); });
}

void LeaseExtensionManager::OnTick(Context& context) {
  const Time now = context.Now();
  if (m_lease.m_version == 0 || now < m_next_request) {
    return;
  }
  const Duration lead = std::min(m_lease.m_duration / kRequestLeadDivisor,
                                 kLeaseExtensionDuration);
  if (now < m_lease.m_valid_until - lead) {
    return;
  }
  m_next_request = now + kRequestInterval;
  RequestExtensions(m_lease.m_cell, context);
  for (const LeaseCell& cell : m_lease.m_pending_cells) {
    RequestExtensions(cell, context);
  }
}

void LeaseExtensionManager::OnLeaseExtensionAnswer(
    const PeerSender& from,
    const LeaseExtensionAnswer& answer) {
  const auto request = m_requests.find(from);
  if (request == m_requests.end() ||
      request->second.m_number != answer.m_number || !answer.m_granted) {
    return;
  }
  m_extended_until[from] = request->second.m_sent + kLeaseExtensionDuration;
}

LeaseExtensionAnswer LeaseExtensionManager::OnLeaseExtensionRequest(
    const PeerSender& from,
    const LeaseExtensionRequest& request,
    Time now) {
  const LeaseVersion version{from.m_incarnation, request.m_lease_version};
  const auto revoked = m_revoked.find(from.m_instance);
  const bool granted = revoked == m_revoked.end() || version > revoked->second;
  if (granted) {
    m_extension_granted[from.m_instance] = now;
  }
  return {request.m_number, granted};
}

LeaseRevocationAnswer LeaseExtensionManager::OnLeaseRevocationRequest(
    const LeaseRevocationRequest& request,
    Time now) {
  const auto grant = m_extension_granted.find(request.m_holder);
  const bool alive =
      grant != m_extension_granted.end() &&
      now < grant->second + WithClockDriftMargin(kLeaseExtensionDuration);
  if (!alive) {
    LeaseVersion& revoked = m_revoked[request.m_holder];
    revoked = std::max(revoked, LeaseVersion{request.m_holder_incarnation,
                                             request.m_lease_version});
  }
  return {request.m_number, request.m_holder, !alive};
}

bool LeaseExtensionManager::HasMajority(const LeaseCell& cell, Time now) const {
  const auto extends = [this, now](const PeerSender& member) {
    const auto found = m_extended_until.find(member);
    return found != m_extended_until.end() && now < found->second;
  };
  const auto count = std::count_if(cell.begin(), cell.end(), extends);
  return static_cast<size_t>(count) * 2 > cell.size();
}

void LeaseExtensionManager::RequestExtensions(const LeaseCell& cell,
                                              Context& context) {
  for (const PeerSender& member : cell) {
    PendingRequest& request = m_requests[member];
    if (request.m_sent == context.Now() && request.m_number > 0) {
      continue;
    }
    request = {++m_last_number, context.Now()};
    context.Send(member.m_instance,
                 LeaseExtensionRequest{request.m_number, m_lease.m_version});
  }
}

}  // namespace jasminelug::core
