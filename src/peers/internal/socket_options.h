#ifndef SRC_PEERS_INTERNAL_SOCKET_OPTIONS_H_
#define SRC_PEERS_INTERNAL_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>

#include <chrono>

namespace jasminelug::peers::internal {

// Disables Nagle's algorithm and lets the kernel end the connection if the
// other side does not respond: after `unacknowledged_timeout` while sent data
// is unacknowledged, and by keep-alive probes while the connection is idle.
void SetSocketOptions(asio::ip::tcp::socket& socket,
                      std::chrono::milliseconds unacknowledged_timeout);

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_SOCKET_OPTIONS_H_
