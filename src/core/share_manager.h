#ifndef SRC_CORE_SHARE_MANAGER_H_
#define SRC_CORE_SHARE_MANAGER_H_

#include <cstdint>
#include <memory>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/event.h"
#include "src/core/ids.h"
#include "src/core/own_lease.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"
#include "src/core/share_options.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Manages this instance's shares of each customer's rate and burst and of each
// database's connections. The sums over all instances never exceed the
// configured totals; docs/design/shares.md proves this.
class ShareManager {
 public:
  enum class Admission {
    kAdmitted,
    // Credit may arrive within the maximum wait. Try again on the next tick or
    // when ShareHooks::m_on_credit is called.
    kWait,
    kRefused,
  };

  ShareManager(ShareOptions options, ShareHooks hooks);
  ~ShareManager();

  ShareManager(const ShareManager&) = delete;
  ShareManager& operator=(const ShareManager&) = delete;

  // Takes the credit for one request. If there is none, returns whether credit
  // may arrive within `max_wait`.
  Admission TryTake(const AllowanceKey& key,
                    Duration max_wait,
                    Context& context);

  // Returns the time after which credit is likely to be available.
  Duration RetryAfter(const AllowanceKey& key, const Context& context) const;

  // Returns the number of connections that this instance may have open; 0 while
  // it is fenced.
  uint32_t ConnectionShare(const DatabaseName& database,
                           const Context& context) const;

  void OnConfiguration(const ConfigurationPtr& configuration, Context& context);

  // Handles a kShare or kInstance object from a list or a watch. Must be called
  // for every such object.
  void OnObjectChanged(const Object& object, Context& context);

  // Handles the start (`reachable`) or the loss of uninterrupted contact with
  // the platform.
  void OnPlatformContact(bool reachable, Context& context);

  // Handles the answer to a call of CallOwner::kShares.
  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context);

  void OnPeerMessage(const PeerSender& from,
                     const CreditRequest& message,
                     Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const CreditTransfer& message,
                     Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const LeaseExtensionRequest& message,
                     Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const LeaseExtensionAnswer& message,
                     Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const LeaseRevocationRequest& message,
                     Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const LeaseRevocationAnswer& message,
                     Context& context);

  // Sets the state of this instance's own lease, as known to membership.
  void OnOwnLease(const OwnLease& lease, Context& context);

  // Handles a failure to deliver a message to a peer. A refused connection
  // shows that no process of the peer runs.
  void OnPeerUnreachable(const PeerUnreachable& event);

  void OnTick(Context& context);

  // Releases all shares, for a graceful shutdown. From this call on TryTake
  // refuses every request and ConnectionShare returns 0.
  void ReleaseAll(Context& context);

  // Returns whether no table lists this instance any more. The lease object may
  // be deleted only then.
  bool Released() const;

  // Returns whether any known share table lists the instance.
  bool NamesHolder(const InstanceId& instance) const;

  // Returns whether this instance may use its shares now: its lease is valid,
  // or a majority of its cell has extended it.
  bool MayUseShares(const Context& context) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SHARE_MANAGER_H_
