#include "src/gossip/datagram_socket.h"

#include <asio/buffer.hpp>
#include <utility>

namespace jasminelug::gossip {

DatagramSocket::DatagramSocket(asio::io_context& io,
                               const asio::ip::udp::endpoint& endpoint,
                               ReceiveHook hook)
    : m_socket(io, endpoint), m_hook(std::move(hook)) {
  m_socket.non_blocking(true);
  Receive();
}

void DatagramSocket::Send(const asio::ip::udp::endpoint& peer,
                          const std::string& bytes) {
  std::error_code ignored;  // The next report replaces a lost one.
  m_socket.send_to(asio::buffer(bytes), peer, 0, ignored);
}

void DatagramSocket::Receive() {
  m_socket.async_receive_from(
      asio::buffer(m_buffer), m_sender,
      [this](std::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        // Other errors report that an earlier datagram was not delivered.
        if (!error) {
          m_hook(std::string_view(m_buffer.data(), size));
        }
        Receive();
      });
}

}  // namespace jasminelug::gossip
