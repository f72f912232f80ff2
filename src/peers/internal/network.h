#ifndef SRC_PEERS_INTERNAL_NETWORK_H_
#define SRC_PEERS_INTERNAL_NETWORK_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

#include "src/peers/envelope.h"
#include "src/peers/error.h"
#include "src/peers/internal/inbound_session.h"
#include "src/peers/internal/outbound_session.h"
#include "src/peers/options.h"
#include "src/peers/peer_address.h"

namespace jasminelug::peers::internal {

// Implements PeerNetwork: owns the listening socket and the sessions.
class Network : public std::enable_shared_from_this<Network> {
 public:
  Network(asio::io_context& io,
          const PeerNetworkOptions& options,
          const PeerHooks& hooks);

  // Opens the listening socket and starts to accept connections.
  Result<Done, Error> Listen();

  PeerAddress LocalAddress() const { return m_local; }
  Result<Done, Error> Send(const PeerAddress& peer, const Envelope& envelope);
  void Disconnect(const PeerAddress& peer);
  void Stop();

 private:
  void Accept();
  void StartInboundSession(asio::ip::tcp::socket socket);
  // Accepts again after a delay.
  void ScheduleAccept();
  std::shared_ptr<OutboundSession> FindOrCreateSession(const PeerAddress& peer);

  asio::io_context& m_io;
  const PeerNetworkOptions m_options;
  const PeerHooks m_hooks;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  PeerAddress m_local;
  std::map<PeerAddress, std::shared_ptr<OutboundSession>> m_outbound;
  std::set<std::shared_ptr<InboundSession>> m_inbound;
  std::uint64_t m_next_jitter_seed;
  bool m_stopped = false;
};

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_NETWORK_H_
