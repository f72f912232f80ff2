#ifndef APPS_GATEWAY_FORWARDING_DUTY_H_
#define APPS_GATEWAY_FORWARDING_DUTY_H_

#include <log4cplus/logger.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jasminelug/gateway.h"
#include "jasminelug/peers.h"

namespace jasminelug::gateway_app {

// Transports forwarded operations between this instance's engine and the other
// instances, and messages about copies of the store's objects. Each pair of
// instances uses one connection in each direction.
class ForwardingDuty {
 public:
  // Listens on the peer address of `self`. Throws std::runtime_error if it
  // cannot listen there.
  ForwardingDuty(asio::io_context& io,
                 const gateway::InstanceEntry& self,
                 gateway::Engine& engine);

  // Updates the peer addresses from the registered instances' entries.
  void SetInstances(const std::vector<gateway::InstanceEntry>& entries);

  // Updates the peer address of one instance. Ignores an invalid address.
  void SetAddress(const gateway::InstanceId& instance,
                  const gateway::Address& address);

  // Sets the hook that handles messages about copies of the store's objects.
  using StateHook = std::function<void(const gateway::InstanceId& sender,
                                       const gateway::StateMessage& message)>;
  void SetStateHook(StateHook hook) { m_on_state = std::move(hook); }

  // Sends a message about copies of the store's objects.
  void SendState(const gateway::InstanceId& instance,
                 const gateway::StateMessage& message);

  // Sends a message of the engine to another instance.
  void Send(const gateway::InstanceId& instance,
            const gateway::ForwardMessage& message);

  // Sends the engine's answer to the instance that forwarded the operation of
  // this session.
  void Answer(gateway::SessionId session, const gateway::Answer& answer);

  // Called when the engine has closed the session of a forwarded operation.
  void OnSessionClosed(gateway::SessionId session) { m_host.Remove(session); }

  void OnTick(gateway::Time now);

  // Number of statements that this instance forwarded, or that it received from
  // other instances to run.
  std::uint64_t sent() const { return m_sent; }
  std::uint64_t received() const { return m_received; }

 private:
  // The run of an instance that sent a message.
  struct Sender {
    gateway::InstanceId m_instance;
    gateway::Incarnation m_incarnation;
  };

  peers::PeerHooks MakePeerHooks();
  void OnEnvelope(const peers::Envelope& envelope);
  void OnStateEnvelope(const gateway::InstanceId& sender,
                       const std::string& payload);
  void LogUnreadable(const gateway::InstanceId& sender,
                     const std::string& reason);
  void SendOpaque(const gateway::InstanceId& instance,
                  const peers::Opaque& body);
  void OnHello(const gateway::InstanceId& sender, const peers::Hello& hello);
  void OnForwardEnvelope(const Sender& sender, const std::string& payload);
  void EndSessionsOfEarlierRuns(const Sender& sender);
  void OnMessage(const Sender& sender,
                 const gateway::ForwardedStatement& statement);
  void OnMessage(const Sender& sender, const gateway::ForwardedAnswer& answer);
  void OnMessage(const Sender& sender, const gateway::ForwardedEnd& end);
  void OnMessage(const Sender& sender, const gateway::ForwardPing& ping);
  void OnMessage(const Sender& sender,
                 const gateway::ForwardProgress& progress);
  void RefuseUnknownTransaction(const gateway::InstanceId& sender,
                                const gateway::ForwardedStatement& statement);
  void RefuseUnwritable(const gateway::InstanceId& sender,
                        gateway::SessionId session,
                        const gateway::ForwardedStatement& statement,
                        const std::string& reason);
  void OnLost(const peers::PeerAddress& peer);
  void EndSession(gateway::SessionId session, gateway::Time now);
  void SendBody(const peers::PeerAddress& peer, const peers::Body& body);

  log4cplus::Logger m_logger;
  gateway::Engine& m_engine;
  const gateway::InstanceEntry m_self;
  gateway::ForwardHost m_host;
  StateHook m_on_state;
  std::map<gateway::InstanceId, peers::PeerAddress> m_addresses;
  // Peers to which this instance's address was sent on the current connection.
  std::set<peers::PeerAddress> m_greeted;
  std::int64_t m_sequence = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::unique_ptr<peers::PeerNetwork> m_network;
};

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_FORWARDING_DUTY_H_
