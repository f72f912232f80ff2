#ifndef SRC_PEERS_PEER_ADDRESS_H_
#define SRC_PEERS_PEER_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "jasminelug/common.h"
#include "src/peers/error.h"

namespace jasminelug::peers {

// IP address and TCP port at which a daemon accepts connections from peers.
struct PeerAddress {
  std::string m_host;
  std::uint16_t m_port = 0;

  bool operator==(const PeerAddress&) const = default;
  bool operator<(const PeerAddress& other) const {
    return std::tie(m_host, m_port) < std::tie(other.m_host, other.m_port);
  }
};

// Parses an address such as "127.0.0.1:7100" or "[::1]:7100".
//
// Errors: kBadAddress, also for host names, because daemons address each other
// by IP address only.
Result<PeerAddress, Error> ParsePeerAddress(std::string_view text);

// Formats `address` as ParsePeerAddress() reads it.
std::string ToString(const PeerAddress& address);

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_PEER_ADDRESS_H_
