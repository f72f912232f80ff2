#ifndef SRC_CORE_CONFIGURATION_STORE_H_
#define SRC_CORE_CONFIGURATION_STORE_H_

#include <functional>
#include <map>
#include <optional>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/object_table.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"
#include "src/core/relay_assembler.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Maximum time that a watch waits at the platform for a change. A confirmation
// can get as old as twice this time plus one round trip, so the value stays
// well below kKeyFreshnessBound.
inline constexpr Duration kWatchWait = 500ms;
// If no call that was sent within this time has been answered, contact with the
// platform counts as lost. The value is above twice kWatchWait, and far enough
// below kKeyFreshnessBound that a heartbeat still informs the peers in time.
inline constexpr Duration kPlatformLostAfter = 1250ms;

// Keeps the newest configuration. Lists the platform's objects and then watches
// them for changes. While the platform does not answer, requests missing
// changes from peers. Installs only what is newer than what it has.
class ConfigurationStore {
 public:
  struct Hooks {
    // Called when a new configuration is in force.
    std::function<void(const ConfigurationPtr&, Context&)> m_on_installed;
    // Called when an instance's lease, a share table or the state of a database
    // group has changed or was deleted.
    std::function<void(const Object&, Context&)> m_on_object;
    // Called when every change up to the revision is installed.
    std::function<void(Revision, Context&)> m_on_advanced;
    // Called when every change that the platform had accepted at `sent` is
    // installed.
    std::function<void(Time sent, Context&)> m_on_confirmed;
    // Called when contact with the platform began or was lost.
    std::function<void(bool reachable, Context&)> m_on_contact;
  };

  ConfigurationStore() = default;
  explicit ConfigurationStore(Hooks hooks) : m_hooks(std::move(hooks)) {}

  // Sends the first call to the platform.
  void Start(Context& context);

  // Repeats calls that failed or are overdue.
  void OnTick(Context& context);

  // Handles an answer to a call of CallOwner::kConfiguration.
  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context);

  // Requests the missing objects from the peer if its heartbeat reports a newer
  // revision and the platform does not answer.
  void OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   Context& context);

  // Sends the objects that changed after the requested revision to the peer.
  void OnObjectsRequest(const PeerSender& from,
                        const ObjectsRequest& request,
                        Context& context);

  // Installs objects relayed by a peer if they are newer.
  void OnRelayedObjects(const PeerSender& from,
                        const RelayedObjects& relayed,
                        Context& context);

  // Returns the configuration in force; null until the first one is installed.
  const ConfigurationPtr& Current() const { return m_current; }

  // Returns the revision up to which every change is installed.
  Revision InstalledRevision() const { return m_table.GetRevision(); }

  // Returns whether this instance itself is in contact with the platform,
  // rather than through its peers.
  bool IsPlatformReachable(const Context& context) const;

  const ObjectTable& Objects() const { return m_table; }

 private:
  // A list or watch call that the platform has not answered yet.
  struct PendingCall {
    Time m_sent;
    Time m_overdue;
    bool m_is_list = false;
    // Revision that was installed when the call was sent.
    Revision m_installed;
  };

  void CallAgain(Context& context);
  void SendList(Context& context);
  void SendWatch(Duration wait, Context& context);
  void AddCall(CallId call, bool is_list, Duration wait, Context& context);
  void DropOverdueCalls(Context& context);
  void OnBatch(const PendingCall& call,
               const ObjectBatch& batch,
               Context& context);
  void OnFailure(Context& context);
  void RecordContact(Time sent, Context& context);
  void RecordLostContact(Context& context);
  void Install(Revision since, const ObjectBatch& batch, Context& context);
  void Publish(const ObjectTable::Changes& changes, Context& context);

  Hooks m_hooks;
  ObjectTable m_table;
  ConfigurationPtr m_current;
  std::map<CallId, PendingCall> m_calls;
  bool m_must_list = true;
  Time m_started;
  Time m_next_call;
  Time m_last_sent;
  Duration m_retry_delay{};
  // Time at which the newest of the answered calls was sent.
  std::optional<Time> m_last_contact;
  bool m_reachable = false;
  Time m_next_relay;
  RelayAssembler m_assembler;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIGURATION_STORE_H_
