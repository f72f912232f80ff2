#ifndef SRC_GOSSIP_DATAGRAM_SOCKET_H_
#define SRC_GOSSIP_DATAGRAM_SOCKET_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "src/gateway/ids.h"

namespace jasminelug::gossip {

// UDP socket that sends and receives datagrams. A datagram may be lost,
// duplicated or delayed.
class DatagramSocket {
 public:
  using ReceiveHook = std::function<void(std::string_view bytes)>;

  // Listens on the endpoint. Throws std::system_error if it cannot listen
  // there.
  DatagramSocket(asio::io_context& io,
                 const asio::ip::udp::endpoint& endpoint,
                 ReceiveHook hook);

  // Sends a datagram without blocking. A datagram that the socket cannot accept
  // at once is lost.
  void Send(const asio::ip::udp::endpoint& peer, const std::string& bytes);

 private:
  // Maximum payload of a UDP datagram over IPv4.
  static constexpr std::size_t kMaxDatagramBytes = 65507;

  void Receive();

  asio::ip::udp::socket m_socket;
  ReceiveHook m_hook;
  std::array<char, kMaxDatagramBytes> m_buffer{};
  asio::ip::udp::endpoint m_sender;
};

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_DATAGRAM_SOCKET_H_
