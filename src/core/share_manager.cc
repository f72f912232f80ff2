#include "src/core/share_manager.h"

namespace jasminelug::core {

// Stub, so that others can link: the implementation follows.
class ShareManager::Impl {};

ShareManager::ShareManager(ShareOptions, ShareHooks) {}
ShareManager::~ShareManager() = default;
ShareManager::Admission ShareManager::TryTake(const AllowanceKey&,
                                              Duration,
                                              Context&) {
  return Admission::kRefused;
}
Duration ShareManager::RetryAfter(const AllowanceKey&, const Context&) const {
  return 1s;
}
uint32_t ShareManager::ConnectionShare(const DatabaseName&,
                                       const Context&) const {
  return 0;
}
void ShareManager::OnConfiguration(const ConfigurationPtr&, Context&) {}
void ShareManager::OnObjectChanged(const Object&, Context&) {}
void ShareManager::OnPlatformContact(bool, Context&) {}
void ShareManager::OnPlatformAnswered(CallId, const PlatformAnswer&, Context&) {
}
void ShareManager::OnPeerMessage(const PeerSender&,
                                 const CreditWanted&,
                                 Context&) {}
void ShareManager::OnPeerMessage(const PeerSender&,
                                 const CreditLent&,
                                 Context&) {}
void ShareManager::OnPeerMessage(const PeerSender&,
                                 const VouchWanted&,
                                 Context&) {}
void ShareManager::OnPeerMessage(const PeerSender&, const Vouched&, Context&) {}
void ShareManager::OnPeerMessage(const PeerSender&,
                                 const DenialWanted&,
                                 Context&) {}
void ShareManager::OnPeerMessage(const PeerSender&, const Denied&, Context&) {}
void ShareManager::OnOwnLease(const OwnLease&, Context&) {}
void ShareManager::OnTick(Context&) {}
void ShareManager::ReleaseAll(Context&) {}
bool ShareManager::Released() const {
  return true;
}
bool ShareManager::MayUseShares(const Context&) const {
  return false;
}

}  // namespace jasminelug::core
