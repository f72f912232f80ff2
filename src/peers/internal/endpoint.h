#ifndef SRC_PEERS_INTERNAL_ENDPOINT_H_
#define SRC_PEERS_INTERNAL_ENDPOINT_H_

#include <asio/ip/tcp.hpp>

#include <optional>

#include "src/peers/peer_address.h"

namespace jasminelug::peers::internal {

// Converts `address` to an asio endpoint. Returns nullopt if the host is not an
// IP address.
std::optional<asio::ip::tcp::endpoint> ToEndpoint(const PeerAddress& address);

// Converts an asio endpoint to a PeerAddress.
PeerAddress ToPeerAddress(const asio::ip::tcp::endpoint& endpoint);

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_ENDPOINT_H_
