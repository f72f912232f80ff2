#ifndef SRC_PEERS_PEER_NETWORK_H_
#define SRC_PEERS_PEER_NETWORK_H_

#include <asio/io_context.hpp>

#include <memory>

#include "jasminelug/common.h"
#include "src/peers/envelope.h"
#include "src/peers/error.h"
#include "src/peers/options.h"
#include "src/peers/peer_address.h"

namespace jasminelug::peers {

namespace internal {
class Network;
}  // namespace internal

// Sends messages to other daemons and receives messages from them over TCP.
//
// Each daemon sends on connections that it opens itself, one per peer, and
// receives on the connections that it accepts. Messages are delivered at most
// once, and in order within one connection. A message is lost if its connection
// fails or cannot be established; the owner must resend what has to arrive.
//
// All members must be called on the thread that runs the io_context. The hooks
// are called on the same thread and may call Send(), Disconnect() and Stop().
class PeerNetwork {
 public:
  // Creates a network that listens at options.m_listen.
  //
  // Errors: kBadAddress, kCannotListen.
  static Result<std::unique_ptr<PeerNetwork>, Error> Listen(
      asio::io_context& io,
      const PeerNetworkOptions& options,
      const PeerHooks& hooks);

  // Takes a network that already listens. Use Listen() to create one.
  explicit PeerNetwork(std::shared_ptr<internal::Network> network);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Returns the address at which the network listens. If options.m_listen had
  // port 0, its port is the one that the system chose.
  PeerAddress LocalAddress() const;

  // Queues `envelope` for the daemon that listens at `peer`. Connects to it
  // unless a connection exists, is being established or has to wait for the
  // reconnect delay. Done means that the message is queued; it may still be
  // lost.
  //
  // Errors: kTooLarge, kQueueFull, kBadAddress, kStopped.
  Result<Done, Error> Send(const PeerAddress& peer, const Envelope& envelope);

  // Closes the connection to `peer` and drops the messages queued for it.
  void Disconnect(const PeerAddress& peer);

  // Stops listening and closes all connections. No hook is called afterwards.
  void Stop();

 private:
  std::shared_ptr<internal::Network> m_network;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_PEER_NETWORK_H_
