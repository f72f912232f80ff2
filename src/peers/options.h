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

// How a PeerNetwork listens, connects and queues.
struct PeerNetworkOptions {
  // Port 0 takes a free port.
  PeerAddress m_listen;
  // Mutual TLS on every connection; null for plain TCP.
  TlsContext m_tls;

  // Bounds of the messages that wait for one peer.
  std::size_t m_max_queued_frames = 1024;
  std::size_t m_max_queued_bytes = std::size_t{4} << 20;
  // Connections accepted at the same time; more are closed at once.
  std::size_t m_max_inbound = 256;

  // Limit on connecting, TLS included.
  std::chrono::milliseconds m_connect_timeout{500};
  // Limit on the time in which the peer acknowledges no byte.
  std::chrono::milliseconds m_write_timeout{2000};
  // Delay before the second attempt; doubles with each failure.
  std::chrono::milliseconds m_min_reconnect_delay{50};
  std::chrono::milliseconds m_max_reconnect_delay{1000};
  // Seed of the jitter on those delays.
  std::uint64_t m_jitter_seed = 0;
};

// What a PeerNetwork tells its owner, on the io_context's thread. An empty hook
// is passed over.
struct PeerHooks {
  // A message came; `from` is the connection's remote end, which is not where
  // the sender listens: that is in its Hello.
  std::function<void(const PeerAddress& from, const Envelope& envelope)>
      m_on_message;

  // The peer's machine refused the connection: nothing listens at the address.
  // This proves that no daemon serves there, given that a daemon listens
  // before it serves and stops listening last, and that no packet filter
  // answers in its place.
  std::function<void(const PeerAddress& peer)> m_on_refused;

  // The peer did not answer in time, cannot be reached or failed the TLS
  // handshake. This proves nothing about the daemon there.
  std::function<void(const PeerAddress& peer)> m_on_unreachable;

  // An open connection to the peer ended: the message that was being sent may
  // be lost.
  std::function<void(const PeerAddress& peer)> m_on_lost;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_OPTIONS_H_
