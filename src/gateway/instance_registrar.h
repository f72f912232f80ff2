#ifndef SRC_GATEWAY_INSTANCE_REGISTRAR_H_
#define SRC_GATEWAY_INSTANCE_REGISTRAR_H_

#include <functional>
#include <optional>
#include <string>

#include "jasminelug/common.h"
#include "src/gateway/ids.h"
#include "src/gateway/store_follower.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Maintains this instance's entry in the store while the instance runs: creates
// it, replaces the entry of an earlier run, restores it if it was removed, and
// deletes it before the exit.
//
// The coordinator of a replacement waits only for the instances that are
// registered. An instance therefore uses a primary only while it is registered,
// on the strength of a contact with the store that is no older than its
// registration: the record that it read then contains every intent whose
// coordinator may not wait for it. It stays registered while it stops.
class InstanceRegistrar {
 public:
  struct Hooks {
    std::function<void(const std::string& name,
                       const InstanceEntry& entry,
                       std::optional<Revision> expected)>
        m_write;
    std::function<void(const std::string& name)> m_delete;
    // Cancels the call that is in progress.
    std::function<void()> m_abandon;
  };

  static constexpr Duration kCallTimeout = 800ms;
  static constexpr Duration kRetryDelay = 150ms;
  // Delay after a conflict, within which newer entries usually arrive.
  static constexpr Duration kConflictDelay = 600ms;

  InstanceRegistrar(InstanceEntry entry, Hooks hooks);

  // Returns the name of the store object that holds an instance's entry.
  static std::string NameOf(const InstanceId& id);

  // Handles the entries of the store, as of its revision `complete`. They are
  // ignored if they are older than the last write of this instance.
  void OnEntries(const StoreObjects& objects, Revision complete, Time now);
  void OnWritten(const Result<StoreObject, StoreError>& result, Time now);
  void OnTick(Time now);

  // Records in the entry that the replacement record of this revision was
  // acknowledged, and writes the entry to the store.
  void Acknowledge(Revision revision, Time now);

  // Marks the entry as that of a stopping instance.
  void AnnounceStop(Time now);

  // Begins to delete the entry and stops writing it.
  void Stop(Time now);

  // Returns whether the store holds the entry of this run.
  bool is_registered() const { return m_registered_since.has_value(); }
  // Returns a time since which the store has held the entry of this run;
  // nullopt if it does not hold it, as far as this instance knows.
  std::optional<Time> registered_since() const { return m_registered_since; }
  // Returns the newest epoch of the store for which that is known. The store
  // may have lost the entry when a later one began.
  StoreEpoch epoch() const { return m_epoch; }

 private:
  void Write(Time now);
  void SetRegistered(bool registered, Time now);
  bool IsOutdated(const StoreObject& stored) const;

  InstanceEntry m_entry;
  const Hooks m_hooks;
  std::optional<Revision> m_revision;
  // Revision of the last write of this run.
  Revision m_written;
  bool m_listed = false;
  std::optional<Time> m_registered_since;
  StoreEpoch m_epoch;
  bool m_calling = false;
  // Whether the entry in the store lacks the newest acknowledgement, or that
  // this instance is stopping.
  bool m_outdated = false;
  bool m_stopping = false;
  Time m_call_sent;
  Time m_next_call;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_INSTANCE_REGISTRAR_H_
