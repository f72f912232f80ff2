#include "src/peers/peer_address.h"

#include <asio/ip/address.hpp>

#include <charconv>
#include <optional>

namespace jasminelug::peers {
namespace {

Error BadAddressError(std::string_view text) {
  return Error{ErrorKind::kBadAddress,
               "not an IP number and a port: " + std::string(text)};
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

Result<PeerAddress, Error> ParsePeerAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddressError(text);
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(host, error);
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (error || ip.is_v6() != bracketed || !port) {
    return BadAddressError(text);
  }
  return PeerAddress{ip.to_string(), *port};
}

std::string ToString(const PeerAddress& address) {
  const bool is_v6 = address.m_host.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address.m_host + "]" : address.m_host;
  return host + ":" + std::to_string(address.m_port);
}

}  // namespace jasminelug::peers
