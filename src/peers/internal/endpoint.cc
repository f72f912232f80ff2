#include "src/peers/internal/endpoint.h"

namespace jasminelug::peers::internal {

std::optional<asio::ip::tcp::endpoint> ToEndpoint(const PeerAddress& address) {
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(address.m_host, error);
  if (error) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, address.m_port);
}

PeerAddress ToPeerAddress(const asio::ip::tcp::endpoint& endpoint) {
  return PeerAddress{endpoint.address().to_string(), endpoint.port()};
}

}  // namespace jasminelug::peers::internal
