#ifndef APPS_GATEWAY_STORE_LINK_H_
#define APPS_GATEWAY_STORE_LINK_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>

#include "jasminelug/gateway.h"
#include "platform/store_client.h"

namespace jasminelug::gateway_app {

// Keeps a copy of one kind of the store's objects up to date over a dedicated
// connection.
class StoreLink {
 public:
  // See gateway::StoreFollower::Hooks.
  struct Hooks {
    std::function<void(const gateway::StoreObjects&)> m_changed;
    std::function<void(gateway::Time sent)> m_verified;
    std::function<void(const std::string& reason)> m_lost;
    std::function<void()> m_regained;
    std::function<double()> m_random;
  };

  StoreLink(asio::io_context& io,
            const asio::ip::tcp::endpoint& store,
            gateway::StoreKind kind,
            const gateway::StoreFollowerOptions& options,
            Hooks hooks);

  gateway::StoreFollower& follower() { return m_follower; }
  // Number of calls to the store since the start; exported as a metric.
  std::uint64_t calls() const { return m_calls; }

 private:
  gateway::StoreFollower::Hooks MakeFollowerHooks(Hooks hooks);

  adapter::StoreClient m_client;
  const gateway::StoreKind m_kind;
  std::uint64_t m_calls = 0;
  gateway::StoreFollower m_follower;
};

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_STORE_LINK_H_
