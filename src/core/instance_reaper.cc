#include "src/core/instance_reaper.h"

#include <string>
#include <utility>

#include "src/core/rendezvous.h"

namespace jasminelug::core {
namespace {

constexpr Duration kRetryInterval = 10s;

}  // namespace

InstanceReaper::InstanceReaper(InstanceId own_id,
                               const PeerTable& peers,
                               HoldsShares holds_shares)
    : m_own_id(std::move(own_id)),
      m_peers(peers),
      m_holds_shares(std::move(holds_shares)) {}

void InstanceReaper::OnObject(const Object& object,
                              const InstanceRecord* record,
                              Context& context) {
  const InstanceId id(object.m_key.m_name);
  if (object.m_deleted || id == m_own_id) {
    m_watched.erase(id);
    return;
  }
  Watched& watched = m_watched[id];
  watched.m_version = object.m_version;
  watched.m_changed = context.Now();
  watched.m_lease = record ? record->m_lease : kDefaultLease;
}

void InstanceReaper::OnTick(Context& context) {
  for (auto& [id, watched] : m_watched) {
    if (!HasStopped(watched) || context.Now() < watched.m_next_try) {
      continue;
    }
    watched.m_next_try = context.Now() + kRetryInterval;
    const bool holds_shares = m_holds_shares && m_holds_shares(id);
    if (holds_shares || !IsChosen(id)) {
      continue;
    }
    DeleteObject request;
    request.m_key = {ObjectKind::kInstance, id.str()};
    request.m_expected_version = watched.m_version;
    request.m_write_id =
        m_own_id.str() + "/removal/" + std::to_string(context.Random()());
    m_calls.insert(
        context.CallThePlatform(CallOwner::kMembership, std::move(request)));
  }
}

bool InstanceReaper::OnPlatformAnswered(CallId call) {
  // The watch shows whether the object was deleted. If it was not, the deletion
  // is retried.
  return m_calls.erase(call) > 0;
}

bool InstanceReaper::HasStopped(const Watched& watched) const {
  const Duration unchanged =
      m_confirmed ? *m_confirmed - watched.m_changed : Duration::zero();
  return unchanged >
         kLeasesUntilRemoval * WithClockDriftMargin(watched.m_lease);
}

bool InstanceReaper::IsChosen(const InstanceId& stopped) const {
  const uint64_t own = RendezvousWeight(m_own_id, stopped.str());
  for (const PeerInfo& peer : m_peers.Peers()) {
    const bool is_candidate = peer.m_live && peer.m_id != stopped;
    if (is_candidate && RendezvousWeight(peer.m_id, stopped.str()) > own) {
      return false;
    }
  }
  return true;
}

}  // namespace jasminelug::core
