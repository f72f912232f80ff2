#ifndef APPS_JASMINELUGD_PEER_DUTY_H_
#define APPS_JASMINELUGD_PEER_DUTY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "apps/jasminelugd/duty.h"
#include "jasminelug/core.h"
#include "jasminelug/peers.h"

namespace jasminelug::daemon {

// A command from the decision duty to the peer duty.
using PeerCommand = core::SendToPeer;

// Exchanges messages with the other instances, on a thread of its own.
class PeerDuty {
 public:
  PeerDuty(core::PeerSender self, Channel<core::Event>* events)
      : m_self(std::move(self)), m_events(events) {}
  ~PeerDuty();

  // Starts listening for peers. Messages are delivered only after
  // thread().Start().
  Result<Done, peers::Error> Listen(const peers::PeerNetworkOptions& options);

  DutyThread& thread() { return m_thread; }
  std::uint16_t Port() const { return m_network->LocalAddress().m_port; }

  // Sends a message to a peer. Must be called on this duty's thread.
  void Execute(const PeerCommand& command);

 private:
  // The heartbeats sent to an address. A failure that the network reports may
  // belong to an attempt that began just after the previous failure. It is
  // therefore evidence only about heartbeats up to m_last_before_failure, the
  // last one sent before the previous failure, and not about later ones.
  struct Link {
    core::InstanceId m_instance;
    uint64_t m_last_heartbeat = 0;
    uint64_t m_last_before_failure = 0;
  };

  void OnMessage(const peers::Envelope& envelope);
  void OnFailure(const peers::PeerAddress& peer, bool refused);

  DutyThread m_thread;
  core::PeerSender m_self;
  Channel<core::Event>* m_events;
  std::int64_t m_last_sequence = 0;
  std::map<peers::PeerAddress, Link> m_links;
  std::unique_ptr<peers::PeerNetwork> m_network;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_PEER_DUTY_H_
