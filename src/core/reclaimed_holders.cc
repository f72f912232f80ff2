#include "src/core/reclaimed_holders.h"

#include <algorithm>
#include <variant>

namespace jasminelug::core {
namespace {

constexpr Duration kReadInterval = 1s;

}  // namespace

bool ReclaimedHolders::IsReclaimed(const ShareHolderId& holder) const {
  const auto reclaimed = m_reclaimed.find(holder.m_instance);
  return reclaimed != m_reclaimed.end() && holder <= reclaimed->second;
}

void ReclaimedHolders::OnRow(const ShareHolderId& holder, Context& context) {
  const ObservedLease* lease = m_leases.Find(holder.m_instance);
  const bool seen = lease != nullptr && !lease->m_deleted;
  if (seen || IsReclaimed(holder) || !m_leases.InContact()) {
    return;
  }
  Time& next_read = m_next_read[holder.m_instance];
  if (context.Now() < next_read) {
    return;
  }
  next_read = context.Now() + kReadInterval + context.RandomUpTo(kReadInterval);
  const CallId call = context.CallThePlatform(
      CallOwner::kShares,
      GetObject{{ObjectKind::kInstance, holder.m_instance.str()}});
  m_calls[call] = holder;
}

void ReclaimedHolders::OnPlatformAnswered(CallId call,
                                          const PlatformAnswer& answer) {
  const auto found = m_calls.find(call);
  const ShareHolderId holder = found->second;
  m_calls.erase(found);
  const auto* read = std::get_if<ObjectAnswer>(&answer);
  if (read == nullptr ||
      (read->m_object.m_version > 0 && !read->m_object.m_deleted)) {
    return;
  }
  const auto [reclaimed, is_new] =
      m_reclaimed.try_emplace(holder.m_instance, holder);
  if (!is_new) {
    reclaimed->second = std::max(reclaimed->second, holder);
  }
}

}  // namespace jasminelug::core
