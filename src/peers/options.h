#ifndef SRC_PEERS_OPTIONS_H_
#define SRC_PEERS_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "src/peers/envelope.h"
#include "src/peers/peer_address.h"
#include "src/peers/tls.h"

namespace jasminelug::peers {

// Addresses, limits and timeouts of a PeerNetwork.
struct PeerNetworkOptions {
  // Address to listen at. Port 0 lets the system choose a free port.
  PeerAddress m_listen;
  // Context for mutual TLS on every connection. Null means plain TCP.
  TlsContext m_tls;

  // Maximum number and total size of the frames queued for one peer.
  std::size_t m_max_queued_frames = 1024;
  std::size_t m_max_queued_bytes = std::size_t{4} << 20;
  // Maximum number of concurrent inbound connections. Further ones are closed
  // as soon as they are accepted.
  std::size_t m_max_inbound = 256;

  // Maximum time to establish a connection, including the TLS handshake.
  std::chrono::milliseconds m_connect_timeout{500};
  // Maximum time for one write to complete, and for which sent data may stay
  // unacknowledged by the peer.
  std::chrono::milliseconds m_write_timeout{2000};
  // Minimum and maximum delay before the next attempt to connect. The delay
  // starts at the minimum and doubles with each failure.
  std::chrono::milliseconds m_min_reconnect_delay{50};
  std::chrono::milliseconds m_max_reconnect_delay{1000};
  // Seed of the random jitter that is applied to the reconnect delays.
  std::uint64_t m_jitter_seed = 0;
};

// Callbacks from a PeerNetwork to its owner, called on the thread that runs the
// io_context. An empty hook is not called.
struct PeerHooks {
  // Called for each received message. `from` is the remote endpoint of the
  // connection, not the address at which the sender listens; the sender's Hello
  // has that address.
  std::function<void(const PeerAddress& from, const Envelope& envelope)>
      m_on_message;

  // Called if the peer's host refused the connection because nothing listens at
  // the address. This proves that no daemon serves there, provided that a
  // daemon starts to listen before it serves and stops listening last, and that
  // no packet filter sends the refusal in place of the host.
  std::function<void(const PeerAddress& peer)> m_on_refused;

  // Called if the peer did not respond in time, cannot be reached or failed the
  // TLS handshake. The daemon there may still be running.
  std::function<void(const PeerAddress& peer)> m_on_unreachable;

  // Called if an established connection to the peer ended. Messages that were
  // being sent may be lost.
  std::function<void(const PeerAddress& peer)> m_on_lost;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_OPTIONS_H_
