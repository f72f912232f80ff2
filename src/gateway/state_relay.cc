#include "src/gateway/state_relay.h"

#include <algorithm>
#include <cstddef>

namespace jasminelug::gateway {

void StateRelay::OnReport(const InstanceId& peer,
                          const std::vector<CopyRevision>& copies,
                          Time now) {
  for (const CopyRevision& copy : copies) {
    Offer& offer = m_kinds[copy.m_kind].m_offers[peer];
    offer.m_changed = copy.m_changed;
    offer.m_received = now;
  }
}

bool StateRelay::TakeRequest(const InstanceId& peer, StoreKind kind) {
  Kind& state = m_kinds[kind];
  if (!state.m_request || state.m_request->m_peer != peer) {
    return false;
  }
  state.m_request.reset();
  state.m_overdue_from.reset();
  return true;
}

void StateRelay::ExpireRequest(Kind* kind, Time now) {
  std::erase_if(kind->m_offers, [now](const auto& item) {
    return now - item.second.m_received > kOfferMaxAge;
  });
  if (!kind->m_request || now - kind->m_request->m_sent <= kAnswerTimeout) {
    return;
  }
  const auto offer = kind->m_offers.find(kind->m_request->m_peer);
  if (offer != kind->m_offers.end()) {
    offer->second.m_ask_from = now + kRetryDelay;
  }
  kind->m_request.reset();
}

std::vector<InstanceId> StateRelay::NewestPeers(const Kind& kind,
                                                Revision complete,
                                                Time now) const {
  std::vector<InstanceId> peers;
  Revision newest = complete;
  for (const auto& [peer, offer] : kind.m_offers) {
    if (offer.m_changed <= complete || offer.m_changed < newest ||
        now < offer.m_ask_from) {
      continue;
    }
    if (offer.m_changed > newest) {
      newest = offer.m_changed;
      peers.clear();
    }
    peers.push_back(peer);
  }
  return peers;
}

Duration StateRelay::PauseOf(StoreKind kind) const {
  return kind == StoreKind::kInstances
             ? m_fleet_size * kInstancesPausePerInstance
             : Duration::zero();
}

Duration StateRelay::OverdueTime(StoreKind kind) const {
  const Duration spread =
      std::min(m_fleet_size * kOverdueDelayPerInstance, kMaxOverdueDelay);
  return kOverdueTime + PauseOf(kind) +
         std::chrono::duration_cast<Duration>(spread * m_hooks.m_random());
}

void StateRelay::Update(StoreKind name, Revision complete, Time now) {
  Kind& kind = m_kinds[name];
  ExpireRequest(&kind, now);
  const bool outdated = std::any_of(kind.m_offers.begin(), kind.m_offers.end(),
                                    [complete](const auto& item) {
                                      return item.second.m_changed > complete;
                                    });
  if (!outdated) {
    kind.m_overdue_from.reset();
    return;
  }
  if (!kind.m_overdue_from) {
    kind.m_overdue_from = now + OverdueTime(name);
  }
  if (kind.m_request || now - kind.m_last_request < PauseOf(name)) {
    return;
  }
  const std::vector<InstanceId> peers = NewestPeers(kind, complete, now);
  if (peers.empty()) {
    return;
  }
  const auto index = static_cast<std::size_t>(
      m_hooks.m_random() * static_cast<double>(peers.size()));
  kind.m_request = Request{peers[std::min(index, peers.size() - 1)], now};
  kind.m_last_request = now;
  m_hooks.m_request(kind.m_request->m_peer, name);
}

bool StateRelay::TakeOverdue(StoreKind name, Time now) {
  Kind& kind = m_kinds[name];
  if (!kind.m_overdue_from || now < *kind.m_overdue_from) {
    return false;
  }
  kind.m_overdue_from = now + OverdueTime(name);
  return true;
}

}  // namespace jasminelug::gateway
