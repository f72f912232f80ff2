#include "src/gateway/store_follower.h"

#include <algorithm>
#include <utility>

namespace jasminelug::gateway {
namespace {

constexpr int kMaxDelayDoublings = 5;
// Minimum wait of a watch, with which it returns at once.
constexpr Duration kNoWait = 1ms;

}  // namespace

StoreFollower::StoreFollower(StoreFollowerOptions options, Hooks hooks)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_watch_wait(options.m_watch_wait) {}

void StoreFollower::Start(Time now) {
  m_list_began = now;
  m_pending_objects.clear();
  m_pending_revision.reset();
  List("", now);
}

void StoreFollower::List(const std::string& after, Time now) {
  m_stage = Stage::kListing;
  m_sent = now;
  m_hooks.m_list(after);
}

void StoreFollower::Watch(Duration wait, Time now) {
  m_stage = Stage::kWatching;
  m_current_wait = wait;
  m_watched_from = m_revision;
  m_sent = now;
  m_hooks.m_watch(m_revision, wait);
}

void StoreFollower::SetFollowing(bool following, Time now) {
  if (following == m_following) {
    return;
  }
  m_following = following;
  if (following && m_stage == Stage::kStopped) {
    Resume(now);
  } else if (!following && m_stage == Stage::kPausing) {
    m_stage = Stage::kStopped;
  }
}

void StoreFollower::Adopt(const StoreObjects& objects, Revision changed) {
  if (m_listed && changed <= m_revision) {
    return;
  }
  m_objects = objects;
  m_revision = changed;
  m_changed = changed;
  m_listed = true;
  m_must_list = false;
  m_hooks.m_changed(m_objects);
}

void StoreFollower::Confirm(Revision changed, Revision complete) {
  if (m_listed && changed == m_changed) {
    m_revision = std::max(m_revision, complete);
  }
}

void StoreFollower::Refresh(Time now) {
  if (m_stage == Stage::kListing) {
    return;
  }
  if (m_stage == Stage::kWatching) {
    m_hooks.m_abandon();
  }
  if (m_must_list) {
    Start(now);
  } else {
    Watch(kNoWait, now);
  }
}

void StoreFollower::Resume(Time now) {
  if (m_must_list) {
    Start(now);
  } else {
    Watch(m_lost ? kNoWait : m_watch_wait, now);
  }
}

void StoreFollower::Continue(Time now) {
  if (m_following) {
    Watch(m_watch_wait, now);
  } else {
    m_stage = Stage::kStopped;
  }
}

void StoreFollower::Succeed() {
  m_failures = 0;
  if (m_lost) {
    m_lost = false;
    m_hooks.m_regained();
  }
}

void StoreFollower::OnPage(const Result<StorePage, StoreError>& result,
                           Time now) {
  if (m_stage != Stage::kListing) {
    return;
  }
  if (!IsOk(result)) {
    Pause(GetError(result), now);
    return;
  }
  const StorePage& page = GetValue(result);
  if (page.m_revision.epoch() < m_revision.epoch()) {
    RejectOlderEpoch(now);
    return;
  }
  const bool other_epoch = m_pending_revision && m_pending_revision->epoch() !=
                                                     page.m_revision.epoch();
  if (other_epoch) {
    Start(now);
    return;
  }
  // The watch starts at the revision of the first page, so it delivers changes
  // that were made between two pages.
  m_pending_revision = m_pending_revision.value_or(page.m_revision);
  for (const StoreObject& object : page.m_objects) {
    m_pending_objects.insert_or_assign(object.m_name, object);
  }
  if (page.m_more && !page.m_objects.empty()) {
    List(page.m_objects.back().m_name, now);
    return;
  }
  ApplyList();
  Continue(now);
}

// Handles an answer that the store gave before it was restored, and that
// arrived after one of the restored store.
void StoreFollower::RejectOlderEpoch(Time now) {
  Pause({StoreErrorKind::kRefused, "answer of an earlier epoch"}, now);
}

// Handles an answer whose revision the store had passed before the watch began.
// It is unknown which calls the next answers on this connection belong to.
void StoreFollower::RejectEarlierAnswer(Time now) {
  m_hooks.m_abandon();
  m_must_list = true;
  Pause({StoreErrorKind::kUnknown, "answer to an earlier call"}, now);
}

void StoreFollower::ApplyList() {
  // A copy that was adopted while the list was read may be newer than the list.
  const Revision revision = m_pending_revision.value_or(Revision());
  const bool newer = !m_listed || revision >= m_revision;
  if (newer) {
    m_objects = std::move(m_pending_objects);
    m_revision = revision;
    m_changed = revision;
  }
  m_pending_objects.clear();
  m_listed = true;
  m_must_list = false;
  Succeed();
  m_hooks.m_verified(m_list_began);
  if (newer) {
    m_hooks.m_changed(m_objects);
  }
}

void StoreFollower::OnChanges(const Result<StoreChanges, StoreError>& result,
                              Time now) {
  if (m_stage != Stage::kWatching) {
    return;
  }
  if (!IsOk(result)) {
    m_must_list |= GetError(result).m_kind == StoreErrorKind::kHistoryGone;
    Pause(GetError(result), now);
    return;
  }
  const StoreChanges& changes = GetValue(result);
  if (changes.m_revision.epoch() < m_revision.epoch()) {
    RejectOlderEpoch(now);
    return;
  }
  // Compared with the epoch in which the watch began, not with that of the
  // copy: a copy of the later epoch that was adopted during the call lacks the
  // changes that were made after it, and the answer does not contain them.
  if (changes.m_revision.epoch() > m_watched_from.epoch()) {
    Start(now);
    return;
  }
  if (changes.m_revision < m_watched_from) {
    RejectEarlierAnswer(now);
    return;
  }
  const bool changed = !changes.m_changes.empty();
  // A copy that was adopted during the call may be newer than the response.
  const bool newer = changes.m_revision >= m_revision;
  if (newer) {
    ApplyChanges(changes);
  }
  Succeed();
  m_hooks.m_verified(m_sent);
  if (changed && newer) {
    m_hooks.m_changed(m_objects);
  }
  if (changed && m_following && m_pause_after_change > Duration::zero()) {
    m_stage = Stage::kPausing;
    m_resume_at = now + m_pause_after_change;
    return;
  }
  Continue(now);
}

void StoreFollower::ApplyChanges(const StoreChanges& changes) {
  for (const StoreChange& change : changes.m_changes) {
    if (change.m_removed) {
      m_objects.erase(change.m_object.m_name);
    } else {
      m_objects.insert_or_assign(change.m_object.m_name, change.m_object);
    }
  }
  m_revision = changes.m_revision;
  if (!changes.m_changes.empty()) {
    m_changed = changes.m_revision;
  }
}

void StoreFollower::Pause(const StoreError& error, Time now) {
  const bool history_gone = error.m_kind == StoreErrorKind::kHistoryGone;
  if (!m_lost && !history_gone) {
    m_lost = true;
    m_hooks.m_lost(error.m_message);
  }
  if (!m_following && !history_gone) {
    m_stage = Stage::kStopped;
    return;
  }
  m_stage = Stage::kPausing;
  const int doublings = std::min(m_failures, kMaxDelayDoublings);
  Duration delay = std::min(kFirstRetryDelay * (1 << doublings),
                            m_options.m_max_retry_delay);
  m_failures += history_gone ? 0 : 1;
  const double jitter = 0.5 + 0.5 * m_hooks.m_random();
  delay = std::chrono::duration_cast<Duration>(delay * jitter);
  m_resume_at = now + (history_gone ? Duration::zero() : delay);
}

void StoreFollower::OnTick(Time now) {
  if (m_stage == Stage::kPausing && now >= m_resume_at) {
    Resume(now);
    return;
  }
  Duration limit = m_options.m_answer_timeout;
  if (m_stage == Stage::kWatching) {
    limit += m_current_wait;
  }
  const bool calling =
      m_stage == Stage::kListing || m_stage == Stage::kWatching;
  if (calling && now - m_sent > limit) {
    m_hooks.m_abandon();
    Pause({StoreErrorKind::kUnknown, "no answer in time"}, now);
  }
}

}  // namespace jasminelug::gateway
