#include "apps/gateway/store_link.h"

#include <utility>

#include "apps/gateway/clock.h"

namespace jasminelug::gateway_app {

StoreLink::StoreLink(asio::io_context& io,
                     const asio::ip::tcp::endpoint& store,
                     gateway::StoreKind kind,
                     const gateway::StoreFollowerOptions& options,
                     Hooks hooks)
    : m_client(io, store),
      m_kind(kind),
      m_follower(options, MakeFollowerHooks(std::move(hooks))) {}

gateway::StoreFollower::Hooks StoreLink::MakeFollowerHooks(Hooks hooks) {
  gateway::StoreFollower::Hooks follower;
  follower.m_list = [this](const std::string& after) {
    m_calls += 1;
    m_client.List(
        m_kind, after, adapter::ListConsistency::kCurrent,
        [this](const auto& result) { m_follower.OnPage(result, Now()); });
  };
  follower.m_watch = [this](gateway::Revision since, gateway::Duration wait) {
    m_calls += 1;
    m_client.Watch(m_kind, since, wait, [this](const auto& result) {
      m_follower.OnChanges(result, Now());
    });
  };
  follower.m_abandon = [this] { m_client.Abandon(); };
  follower.m_changed = std::move(hooks.m_changed);
  follower.m_verified = std::move(hooks.m_verified);
  follower.m_lost = std::move(hooks.m_lost);
  follower.m_regained = std::move(hooks.m_regained);
  follower.m_random = std::move(hooks.m_random);
  return follower;
}

}  // namespace jasminelug::gateway_app
