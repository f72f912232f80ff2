#include "src/core/share_holder.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/common/assert.h"

namespace jasminelug::core {
namespace {

constexpr Duration kStartJitter = 100ms;
constexpr Duration kMinRetryDelay = 20ms;
constexpr Duration kMaxRetryDelay = 2s;
// Time after confirming a lower grant for which a holder does not grow again,
// so that others can take what it has given up.
constexpr Duration kGrowDelay = 1s;
// Time after which the outcome of an unanswered call is treated as unknown.
constexpr Duration kCallTimeout = 5s;

// Returns whether two tables differ in anything but the demand of `holder`'s
// row.
bool DiffersInShares(ShareTable a,
                     const ShareTable& b,
                     const ShareHolderId& holder) {
  const ShareRow* other = FindRow(b, holder);
  for (ShareRow& row : a.m_rows) {
    if (row.m_holder == holder && other != nullptr) {
      row.m_demand = other->m_demand;
    }
  }
  return a != b;
}

}  // namespace

void ShareHolder::OnObject(const Object& object) {
  if (object.m_revision <= m_revision) {
    return;
  }
  m_revision = object.m_revision;
  ScheduleCheck();
  m_version = 0;
  m_table = {};
  if (!object.m_deleted) {
    m_version = object.m_version;
    m_table = DecodeShareTable(object.m_value).value_or(ShareTable{});
  }
  // A write based on an older version is either contained in this version or
  // can no longer take effect.
  std::erase_if(m_pending, [this](const PendingWrite& write) {
    return write.m_base_revision < m_revision;
  });
}

void ShareHolder::OnPlatformAnswered(const PlatformAnswer& answer,
                                     Context& context) {
  m_call.reset();
  ScheduleCheck();
  if (const auto* done = std::get_if<ObjectAnswer>(&answer)) {
    OnObject(done->m_object);
    m_must_read = false;
    m_retry_delay = Duration::zero();
    return;
  }
  if (const auto* conflict = std::get_if<VersionConflict>(&answer)) {
    OnObject(conflict->m_current);
    m_must_read = false;
    DelayRetry(context);
    return;
  }
  const auto* failure = std::get_if<PlatformFailure>(&answer);
  if (failure != nullptr && !failure->m_outcome_unknown && !m_must_read &&
      !m_pending.empty()) {
    m_pending.pop_back();
  } else {
    m_must_read = true;
  }
  DelayRetry(context);
}

bool ShareHolder::IsDue(Time now) const {
  return now >= m_next_check && (!m_call || now >= m_call_deadline);
}

std::optional<CallId> ShareHolder::UpdateTable(const ShareTableInput& input,
                                               Context& context) {
  const Time now = context.Now();
  if (!m_started) {
    m_started = true;
    m_next_try = now + context.RandomUpTo(kStartJitter);
  }
  if (m_call && now >= m_call_deadline) {
    m_call.reset();
    m_must_read = true;
  }
  if (m_call || now < m_next_try) {
    return std::nullopt;
  }
  if (m_must_read) {
    return SendGet(context);
  }
  const ShareTable next = NextTable(input, now);
  if (!IsWorthWriting(next, input)) {
    // A lower grant that is not confirmed yet is checked again at once, until
    // the use has fallen.
    const ShareRow* own = FindRow(m_table, input.m_self);
    const bool is_shrinking =
        own != nullptr && own->m_granted != own->m_confirmed;
    m_next_check = is_shrinking ? now : now + kCheckInterval;
    return std::nullopt;
  }
  return SendPut(next, context);
}

ShareAmount ShareHolder::Usable(const ShareHolderId& self) const {
  const ShareRow* row = FindRow(m_table, self);
  if (row == nullptr) {
    return {};
  }
  ShareAmount usable = ComponentMin(row->m_granted, row->m_confirmed);
  for (const PendingWrite& write : m_pending) {
    const ShareRow* later = FindRow(write.m_table, self);
    usable = later == nullptr
                 ? ShareAmount{}
                 : ComponentMin(usable, ComponentMin(later->m_granted,
                                                     later->m_confirmed));
  }
  return usable;
}

bool ShareHolder::IsUnlisted(const InstanceId& instance) const {
  const auto lists = [&instance](const ShareTable& table) {
    return std::any_of(table.m_rows.begin(), table.m_rows.end(),
                       [&instance](const ShareRow& row) {
                         return row.m_holder.m_instance == instance;
                       });
  };
  return !lists(m_table) && std::none_of(m_pending.begin(), m_pending.end(),
                                         [&lists](const PendingWrite& write) {
                                           return lists(write.m_table);
                                         });
}

ShareTable ShareHolder::NextTable(const ShareTableInput& input, Time now) {
  ShareTable next = SetGoal(m_table, input.m_goal, input.m_goal_revision);
  next = RemoveRows(std::move(next), [&input](const ShareHolderId& holder) {
    return IsEarlier(holder, input.m_self) ? input.m_earlier_stopped
                                           : input.m_has_stopped(holder);
  });
  const ShareRow* own = FindRow(next, input.m_self);
  if (own != nullptr && own->m_granted != own->m_confirmed &&
      FitsIn(own->m_granted, own->m_confirmed) &&
      input.m_uses_at_most(own->m_granted)) {
    next = Confirm(std::move(next), input.m_self);
    m_no_growth_until = now + kGrowDelay;
  }
  next = UpdateTotal(std::move(next));
  ShareRequest request = input.m_share_request;
  if (!input.m_may_grow || now < m_no_growth_until) {
    own = FindRow(next, input.m_self);
    const ShareAmount held = own == nullptr ? ShareAmount{} : own->m_granted;
    request.m_requested = ComponentMin(request.m_requested, held);
    request.m_entitlement = {};
    request.m_idle_floor.reset();
  }
  const ShareAmount free = FreeAmount(next);
  if (input.m_grow_before_confirm) {
    const ShareAmount ungranted = UngrantedAmount(next);
    return Claim(std::move(next), input.m_self, request, ungranted);
  }
  next = Claim(std::move(next), input.m_self, request, free);
  next = UpdateTotal(std::move(next));
  JASMINELUG_ASSERT(IsWithinTotal(next), SHARES_SUM_TO_NO_MORE_THAN_THE_TOTAL);
  JASMINELUG_ASSERT(
      FitsIn(next.m_total, ComponentMax(next.m_goal, SumOfRows(m_table))),
      NO_CLAIM_RAISES_THE_SUM_ABOVE_THE_GOAL);
  return next;
}

bool ShareHolder::IsWorthWriting(const ShareTable& next,
                                 const ShareTableInput& input) const {
  // If an earlier write may still take effect, any new write settles its
  // outcome.
  if (!m_pending.empty()) {
    return true;
  }
  if (next == m_table) {
    return false;
  }
  if (DiffersInShares(next, m_table, input.m_self)) {
    return true;
  }
  // A change of the demand alone is written only if it is large: more than half
  // of the equal share.
  const ShareRow* before = FindRow(m_table, input.m_self);
  const uint64_t old_demand = before == nullptr ? 0 : before->m_demand;
  const uint64_t new_demand = input.m_share_request.m_demand;
  const uint64_t change =
      std::max(old_demand, new_demand) - std::min(old_demand, new_demand);
  return change > input.m_share_request.m_equal_share.m_units / 2;
}

CallId ShareHolder::SendPut(const ShareTable& next, Context& context) {
  m_pending.push_back({m_revision, next});
  PutObject put;
  put.m_key = {ObjectKind::kShare, m_name};
  put.m_expected_version = m_version;
  put.m_value = EncodeShareTable(next);
  put.m_write_id = m_name + "/" + std::to_string(context.Random()()) + "/" +
                   std::to_string(++m_last_write);
  const CallId call =
      context.CallThePlatform(CallOwner::kShares, std::move(put));
  RecordCall(call, context);
  return call;
}

CallId ShareHolder::SendGet(Context& context) {
  const CallId call = context.CallThePlatform(
      CallOwner::kShares, GetObject{{ObjectKind::kShare, m_name}});
  RecordCall(call, context);
  return call;
}

void ShareHolder::RecordCall(CallId call, Context& context) {
  m_call = call;
  m_call_deadline = context.Now() + kCallTimeout;
}

void ShareHolder::DelayRetry(Context& context) {
  m_retry_delay = std::clamp(m_retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
  m_next_try =
      context.Now() + m_retry_delay / 2 + context.RandomUpTo(m_retry_delay);
}

}  // namespace jasminelug::core
