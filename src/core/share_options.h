#ifndef SRC_CORE_SHARE_OPTIONS_H_
#define SRC_CORE_SHARE_OPTIONS_H_

#include <cstdint>
#include <functional>

#include "src/core/ids.h"
#include "src/core/lease_watch.h"
#include "src/core/peer_message.h"
#include "src/core/time.h"

namespace jasminelug::core {

// How the share of an instance is determined.
enum class SharePolicy {
  // Shares are recorded in the platform's tables, and instances transfer credit
  // to each other.
  kEscrow,
  // Equal shares for a fixed number of instances, without messages. Serves as
  // the baseline of the experiments.
  kFixedEqual,
};

// Mutations that disable safeguards, so that tests can show that their checks
// detect the resulting violations. All are off in a daemon.
struct ShareMutations {
  // Reclaims shares before a majority of the holder's cell has confirmed that
  // it revokes its lease extensions.
  bool m_reclaim_without_revocation = false;
  // Accepts credit in answers to requests that are no longer pending.
  bool m_accept_late_credit = false;
  // Grows a share before other holders have confirmed their lower grants.
  bool m_grow_before_confirm = false;
  // Starts with a full token bucket instead of an empty one.
  bool m_restart_keeps_bucket = false;

  friend bool operator==(const ShareMutations&,
                         const ShareMutations&) = default;
};

// Options of a ShareManager.
struct ShareOptions {
  InstanceId m_self;
  Incarnation m_incarnation;
  SharePolicy m_policy = SharePolicy::kEscrow;
  // Number of instances that kFixedEqual divides the total by.
  uint32_t m_fixed_instances = 1;
  // Maximum number of instances that hold a share of one resource.
  uint32_t m_max_holders = 64;
  // Minimum burst share of a holder, in millicredits; limits the number of
  // holders.
  uint64_t m_min_burst_share = 2000;
  // Minimum number of connections of a holder; limits the number of holders.
  uint32_t m_min_connections = 2;
  // Request numbers start above this random number, so that no answer to an
  // earlier process matches a request.
  uint64_t m_first_number = 0;
  // Decodes a lease object.
  LeaseReader m_lease_reader = [](const Object& object) {
    return DecodeLeaseRecord(object.m_value);
  };
  ShareMutations m_mutations;
};

// Callbacks of a ShareManager, called while it handles an event. They may call
// TryTake, but none of the On... methods.
struct ShareHooks {
  // Called with the new number of connections that this instance may have open.
  // If it is lower than before, the callee closes connections.
  std::function<void(const DatabaseName&, uint32_t)>
      m_on_connection_share_changed;
  // Called when credit has arrived: queued requests may try again.
  std::function<void(const AllowanceKey&)> m_on_credit;
  // Returns whether no more than the given number of connections are open,
  // including those being opened.
  std::function<bool(const DatabaseName&, uint32_t)> m_connections_at_most;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SHARE_OPTIONS_H_
