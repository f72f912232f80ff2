#include "src/core/share_manager.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/allowance_shares.h"
#include "src/core/connection_shares.h"
#include "src/core/lease_extension_manager.h"
#include "src/core/lease_watch.h"
#include "src/core/reclaimed_holders.h"
#include "src/core/reclaimer.h"
#include "src/core/share_environment.h"

namespace jasminelug::core {

class ShareManager::Impl {
 public:
  Impl(ShareOptions options, ShareHooks hooks)
      : m_options(std::move(options)),
        m_hooks(std::move(hooks)),
        m_leases(m_options.m_lease_reader),
        m_lease_extensions(m_options.m_first_number),
        m_reclaimed(m_leases),
        m_reclaimer(
            {m_options.m_self, m_options.m_incarnation},
            m_leases,
            [this](const InstanceId& holder) { return NamesHolder(holder); },
            [this](const LeaseRevocationRequest& request, Time now) {
              return m_lease_extensions.OnLeaseRevocationRequest(request, now);
            }),
        m_allowances(m_options.m_first_number),
        m_connections(m_hooks) {
    m_reclaimer.SetMutation(m_options.m_mutations.m_reclaim_without_revocation);
    m_environment.m_options = m_options;
    m_environment.m_has_stopped = [this](const ShareHolderId& holder) {
      return m_reclaimed.IsReclaimed(holder);
    };
    UpdateSelf();
  }

  Admission TryTake(const AllowanceKey& key,
                    Duration max_wait,
                    Context& context) {
    AllowanceAccount* account = m_allowances.Find(key);
    if (account == nullptr || m_environment.m_releasing) {
      return Admission::kRefused;
    }
    const Time now = context.Now();
    if (!MayUse(now)) {
      // While fenced, this instance may use only received credit, which is
      // covered by the lease of the peer that transferred it.
      account->SetShare({}, now);
    }
    const bool taken = account->Take(now);
    if (IsEscrow() && (!taken || account->IsRunningLow(now))) {
      m_allowances.RequestIfShort(key, context);
    }
    if (taken) {
      return Admission::kAdmitted;
    }
    return MayArriveWithin(max_wait, key, *account, now) ? Admission::kWait
                                                         : Admission::kRefused;
  }

  Duration RetryAfter(const AllowanceKey& key, const Context& context) const {
    const AllowanceAccount* account = m_allowances.Find(key);
    if (account == nullptr) {
      return kMaxRetryAfter;
    }
    return std::max(kMinRetryAfter,
                    account->TimeUntilOwnCredit(kMaxRetryAfter, context.Now()));
  }

  uint32_t ConnectionShare(const DatabaseName& database,
                           const Context& context) const {
    return MayUse(context.Now())
               ? m_connections.ShareOf(database, m_environment)
               : 0;
  }

  void OnConfiguration(const ConfigurationPtr& configuration,
                       Context& context) {
    UpdateEnvironment(context.Now());
    m_allowances.OnConfiguration(*configuration, m_environment, context);
    m_connections.OnConfiguration(*configuration, m_environment, context);
  }

  void OnObjectChanged(const Object& object, Context& context) {
    UpdateEnvironment(context.Now());
    if (object.m_key.m_kind == ObjectKind::kInstance) {
      m_leases.OnObject(object, context.Now());
    }
    if (object.m_key.m_kind == ObjectKind::kShare) {
      m_allowances.OnObject(object, m_environment, context);
      m_connections.OnObject(object, m_environment);
    }
  }

  void OnPlatformContact(bool reachable, Context& context) {
    m_leases.OnPlatformContact(reachable, context.Now());
  }

  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context) {
    UpdateEnvironment(context.Now());
    if (m_reclaimed.IsWaitingFor(call)) {
      m_reclaimed.OnPlatformAnswered(call, answer);
    } else if (m_reclaimer.IsWaitingFor(call)) {
      m_reclaimer.OnPlatformAnswered(call, answer, context);
    } else if (!m_allowances.OnPlatformAnswered(call, answer, m_environment,
                                                context)) {
      m_connections.OnPlatformAnswered(call, answer, m_environment, context);
    }
  }

  void OnPeerMessage(const PeerSender& from,
                     const CreditRequest& message,
                     Context& context) {
    AllowanceAccount* account = m_allowances.Find(message.m_allowance);
    const Time now = context.Now();
    const bool may_transfer = account != nullptr && MayUse(now) &&
                              !m_environment.m_releasing && IsEscrow();
    const uint64_t amount =
        may_transfer ? account->GrantTransfer(from, message, now) : 0;
    context.Send(from.m_instance,
                 CreditTransfer{message.m_number, message.m_allowance, amount});
  }

  void OnPeerMessage(const PeerSender& from,
                     const CreditTransfer& message,
                     Context& context) {
    AllowanceAccount* account = m_allowances.Find(message.m_allowance);
    if (account == nullptr) {
      return;
    }
    const bool accept_late = m_options.m_mutations.m_accept_late_credit;
    if (!account->AcceptTransfer(from, message, accept_late, context.Now())) {
      return;
    }
    if (m_hooks.m_on_credit) {
      m_hooks.m_on_credit(message.m_allowance);
    }
    account->DepositReceived(context.Now());
  }

  void OnPeerMessage(const PeerSender& from,
                     const LeaseExtensionRequest& message,
                     Context& context) {
    context.Send(from.m_instance, m_lease_extensions.OnLeaseExtensionRequest(
                                      from, message, context.Now()));
  }

  void OnPeerMessage(const PeerSender& from,
                     const LeaseExtensionAnswer& message,
                     Context&) {
    m_lease_extensions.OnLeaseExtensionAnswer(from, message);
  }

  void OnPeerMessage(const PeerSender& from,
                     const LeaseRevocationRequest& message,
                     Context& context) {
    context.Send(from.m_instance, m_lease_extensions.OnLeaseRevocationRequest(
                                      message, context.Now()));
  }

  void OnPeerMessage(const PeerSender& from,
                     const LeaseRevocationAnswer& message,
                     Context&) {
    m_reclaimer.OnLeaseRevocationAnswer(from, message);
  }

  void OnOwnLease(const OwnLease& lease, Context& context) {
    const bool new_series =
        m_lease_extensions.lease().m_version == 0 ||
        lease.m_series != m_lease_extensions.lease().m_series;
    m_lease_extensions.OnOwnLease(lease);
    if (new_series) {
      m_series_start = context.Now();
      UpdateSelf();
    }
    UpdateEnvironment(context.Now());
    RefreshIfFenceChanged(context);
  }

  void OnPeerUnreachable(const PeerUnreachable& event) {
    if (event.m_refused) {
      m_reclaimer.OnPeerStopped(event.m_peer);
    }
  }

  void OnTick(Context& context) {
    m_lease_extensions.OnTick(context);
    UpdateEnvironment(context.Now());
    RefreshIfFenceChanged(context);
    m_reclaimer.OnTick(context);
    m_allowances.OnTick(m_environment, m_reclaimed, context);
    m_connections.OnTick(m_environment, m_reclaimed, context);
  }

  void ReleaseAll(Context& context) {
    m_environment.m_releasing = true;
    m_allowances.Refresh(m_environment, context);
    m_connections.Refresh(m_environment);
  }

  bool Released() const {
    return m_environment.m_releasing && !NamesHolder(m_options.m_self);
  }

  bool NamesHolder(const InstanceId& instance) const {
    return m_allowances.ListsInstance(instance) ||
           m_connections.ListsInstance(instance);
  }

  bool MayUse(Time now) const {
    return !IsEscrow() || m_lease_extensions.MayUse(now);
  }

 private:
  static constexpr Duration kMinRetryAfter = 10ms;
  static constexpr Duration kMaxRetryAfter = 5s;

  bool IsEscrow() const { return m_options.m_policy == SharePolicy::kEscrow; }

  bool MayArriveWithin(Duration max_wait,
                       const AllowanceKey& key,
                       const AllowanceAccount& account,
                       Time now) const {
    if (max_wait <= Duration::zero()) {
      return false;
    }
    const Duration own =
        account.TimeUntilOwnCredit(max_wait + Duration(1), now);
    if (own <= max_wait) {
      return true;
    }
    return IsEscrow() && m_allowances.MayReceiveCredit(key, max_wait, now);
  }

  void UpdateSelf() {
    m_environment.m_self = {m_options.m_self, m_options.m_incarnation,
                            m_lease_extensions.lease().m_series};
  }

  void UpdateEnvironment(Time now) {
    m_environment.m_may_use = MayUse(now);
    m_environment.m_may_grow = m_lease_extensions.IsLeaseValid(now) &&
                               m_leases.InContact() &&
                               !m_environment.m_releasing;
    m_environment.m_earlier_stopped =
        m_lease_extensions.lease().m_version > 0 &&
        now > m_series_start + WithClockDriftMargin(kCreditValidity);
    if (now < m_next_live_update) {
      return;
    }
    m_next_live_update = now + kLiveInterval;
    m_environment.m_live = m_leases.Live(now);
    if (std::find(m_environment.m_live.begin(), m_environment.m_live.end(),
                  m_options.m_self) == m_environment.m_live.end()) {
      m_environment.m_live.push_back(m_options.m_self);
    }
    std::sort(m_environment.m_live.begin(), m_environment.m_live.end());
  }

  void RefreshIfFenceChanged(Context& context) {
    const bool may_use = m_environment.m_may_use;
    if (may_use == m_last_may_use) {
      return;
    }
    m_last_may_use = may_use;
    if (!may_use) {
      TimelineEvent event;
      event.m_kind = TimelineKind::kLeaseLapsed;
      context.Record(std::move(event));
    }
    m_allowances.Refresh(m_environment, context);
    m_connections.Refresh(m_environment);
  }

  static constexpr Duration kLiveInterval = 100ms;

  ShareOptions m_options;
  ShareHooks m_hooks;
  LeaseWatch m_leases;
  LeaseExtensionManager m_lease_extensions;
  ReclaimedHolders m_reclaimed;
  Reclaimer m_reclaimer;
  ShareEnvironment m_environment;
  AllowanceShares m_allowances;
  ConnectionShares m_connections;
  Time m_series_start;
  Time m_next_live_update;
  bool m_last_may_use = false;
};

ShareManager::ShareManager(ShareOptions options, ShareHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

ShareManager::~ShareManager() = default;

ShareManager::Admission ShareManager::TryTake(const AllowanceKey& key,
                                              Duration max_wait,
                                              Context& context) {
  return m_impl->TryTake(key, max_wait, context);
}

Duration ShareManager::RetryAfter(const AllowanceKey& key,
                                  const Context& context) const {
  return m_impl->RetryAfter(key, context);
}

uint32_t ShareManager::ConnectionShare(const DatabaseName& database,
                                       const Context& context) const {
  return m_impl->ConnectionShare(database, context);
}

void ShareManager::OnConfiguration(const ConfigurationPtr& configuration,
                                   Context& context) {
  m_impl->OnConfiguration(configuration, context);
}

void ShareManager::OnObjectChanged(const Object& object, Context& context) {
  m_impl->OnObjectChanged(object, context);
}

void ShareManager::OnPlatformContact(bool reachable, Context& context) {
  m_impl->OnPlatformContact(reachable, context);
}

void ShareManager::OnPlatformAnswered(CallId call,
                                      const PlatformAnswer& answer,
                                      Context& context) {
  m_impl->OnPlatformAnswered(call, answer, context);
}

void ShareManager::OnPeerMessage(const PeerSender& from,
                                 const CreditRequest& message,
                                 Context& context) {
  m_impl->OnPeerMessage(from, message, context);
}

void ShareManager::OnPeerMessage(const PeerSender& from,
                                 const CreditTransfer& message,
                                 Context& context) {
  m_impl->OnPeerMessage(from, message, context);
}

void ShareManager::OnPeerMessage(const PeerSender& from,
                                 const LeaseExtensionRequest& message,
                                 Context& context) {
  m_impl->OnPeerMessage(from, message, context);
}

void ShareManager::OnPeerMessage(const PeerSender& from,
                                 const LeaseExtensionAnswer& message,
                                 Context& context) {
  m_impl->OnPeerMessage(from, message, context);
}

void ShareManager::OnPeerMessage(const PeerSender& from,
                                 const LeaseRevocationRequest& message,
                                 Context& context) {
  m_impl->OnPeerMessage(from, message, context);
}

void ShareManager::OnPeerMessage(const PeerSender& from,
                                 const LeaseRevocationAnswer& message,
                                 Context& context) {
  m_impl->OnPeerMessage(from, message, context);
}

void ShareManager::OnOwnLease(const OwnLease& lease, Context& context) {
  m_impl->OnOwnLease(lease, context);
}

void ShareManager::OnPeerUnreachable(const PeerUnreachable& event) {
  m_impl->OnPeerUnreachable(event);
}

void ShareManager::OnTick(Context& context) {
  m_impl->OnTick(context);
}

void ShareManager::ReleaseAll(Context& context) {
  m_impl->ReleaseAll(context);
}

bool ShareManager::Released() const {
  return m_impl->Released();
}

bool ShareManager::NamesHolder(const InstanceId& instance) const {
  return m_impl->NamesHolder(instance);
}

bool ShareManager::MayUseShares(const Context& context) const {
  return m_impl->MayUse(context.Now());
}

}  // namespace jasminelug::core
