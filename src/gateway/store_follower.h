#ifndef SRC_GATEWAY_STORE_FOLLOWER_H_
#define SRC_GATEWAY_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "jasminelug/common.h"
#include "src/gateway/ids.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// The objects of one kind, keyed by name.
using StoreObjects = std::map<std::string, StoreObject>;

// Timeouts and delays of a StoreFollower.
struct StoreFollowerOptions {
  friend bool operator==(const StoreFollowerOptions&,
                         const StoreFollowerOptions&) = default;

  // A watch returns after this time if nothing changed. Each return counts as
  // contact with the store. See SetWatchWait().
  Duration m_watch_wait = 2s;
  // Maximum delay between two attempts.
  Duration m_max_retry_delay = 500ms;
  // Maximum time for a list call to return, and for a watch to return after its
  // wait has ended.
  Duration m_answer_timeout = 700ms;
};

// Maintains a copy of the store's objects of one kind: lists them once, then
// watches for changes. Lists them again if the store no longer has the history
// since the last known revision, or was restored: an answer of another epoch
// than the copy says nothing about the copy, and the changes of two epochs
// cannot be joined.
//
// After a failed call, the follower retries from the last known revision, with
// a delay that doubles up to a maximum. The first watch after a failure does
// not wait for a change, so that contact is confirmed at once.
//
// Only some instances follow the store. The others take their copy from them
// (Adopt()) and call the store only for a Refresh(). See also:
// FollowerElection, StateRelay.
class StoreFollower {
 public:
  struct Hooks {
    std::function<void(const std::string& after)> m_list;
    std::function<void(Revision since, Duration wait)> m_watch;
    // Cancels the call that is in progress.
    std::function<void()> m_abandon;
    // Called when the objects changed or were listed for the first time.
    std::function<void(const StoreObjects&)> m_changed;
    // Called when a call sent at time `sent` returned: the copy is no older
    // than that.
    std::function<void(Time sent)> m_verified;
    // Called when contact with the store was lost, with the reason, and when it
    // was regained.
    std::function<void(const std::string& reason)> m_lost;
    std::function<void()> m_regained;
    // Returns a random number in [0, 1), for the jitter of retries.
    std::function<double()> m_random;
  };

  static constexpr Duration kFirstRetryDelay = 60ms;

  StoreFollower(StoreFollowerOptions options, Hooks hooks);

  // Starts by listing the objects.
  void Start(Time now);

  // Sets whether this follower keeps calling the store. If not, it completes
  // the call that is in progress and stops. The default is true.
  void SetFollowing(bool following, Time now);

  // Replaces the copy by that of another instance, which contains all changes
  // up to the revision `changed`. Does nothing if the own copy is not older.
  void Adopt(const StoreObjects& objects, Revision changed);

  // Records that no object of this kind has changed after the revision
  // `changed` up to the revision `complete`. Does nothing if the own copy
  // contains a later change or lacks one.
  void Confirm(Revision changed, Revision complete);

  void OnPage(const Result<StorePage, StoreError>& result, Time now);
  void OnChanges(const Result<StoreChanges, StoreError>& result, Time now);
  void OnTick(Time now);

  // Sets the pause between a change and the next watch. Changes in quick
  // succession are then read together.
  void SetPauseAfterChange(Duration pause) { m_pause_after_change = pause; }

  // Sets how long subsequent watches wait for a change.
  void SetWatchWait(Duration wait) { m_watch_wait = wait; }

  // Calls the store at once, instead of finishing a watch or a pause that is in
  // progress. Used when the copy may be outdated or the store may be available
  // again.
  void Refresh(Time now);

  // Returns whether the objects were listed at least once.
  bool is_listed() const { return m_listed; }
  // Returns whether contact is lost: a call failed and none has succeeded
  // since.
  bool is_lost() const { return m_lost; }
  // Returns whether the follower keeps calling the store, see SetFollowing(),
  // and whether it then waits to repeat a failed call.
  bool is_following() const { return m_following; }
  bool is_retrying() const { return m_lost && m_stage == Stage::kPausing; }
  const StoreObjects& objects() const { return m_objects; }
  // Returns the revision of the store at which the copy was last changed or
  // listed. Copies of different instances with the same revision are equal.
  Revision changed() const { return m_changed; }
  // Returns the revision of the store up to which the copy contains all
  // changes; at least changed().
  Revision complete() const { return m_revision; }

 private:
  enum class Stage { kStopped, kListing, kWatching, kPausing };

  void List(const std::string& after, Time now);
  void Watch(Duration wait, Time now);
  void Pause(const StoreError& error, Time now);
  void Resume(Time now);
  void Continue(Time now);
  void Succeed();
  void RejectOlderEpoch(Time now);
  void RejectEarlierAnswer(Time now);
  void ApplyList();
  void ApplyChanges(const StoreChanges& changes);

  const StoreFollowerOptions m_options;
  const Hooks m_hooks;
  Stage m_stage = Stage::kStopped;
  Duration m_watch_wait;
  Duration m_pause_after_change{0};
  // Wait of the watch that is in progress.
  Duration m_current_wait{0};
  // Revision from which the store is watched.
  Revision m_watched_from;
  StoreObjects m_objects;
  StoreObjects m_pending_objects;
  // Revision of the first page of the list in progress.
  std::optional<Revision> m_pending_revision;
  Revision m_revision;
  Revision m_changed;
  bool m_following = true;
  bool m_listed = false;
  bool m_must_list = true;
  bool m_lost = false;
  int m_failures = 0;
  Time m_sent;
  Time m_list_began;
  Time m_resume_at;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_STORE_FOLLOWER_H_
