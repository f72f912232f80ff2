#include "src/peers/peer_network.h"

#include <utility>

#include "src/peers/internal/network.h"

namespace jasminelug::peers {

Result<std::unique_ptr<PeerNetwork>, Error> PeerNetwork::Listen(
    asio::io_context& io,
    const PeerNetworkOptions& options,
    const PeerHooks& hooks) {
  auto network = std::make_shared<internal::Network>(io, options, hooks);
  if (const Result<Done, Error> listening = network->Listen();
      !IsOk(listening)) {
    return GetError(listening);
  }
  return std::make_unique<PeerNetwork>(std::move(network));
}

PeerNetwork::PeerNetwork(std::shared_ptr<internal::Network> network)
    : m_network(std::move(network)) {}

PeerNetwork::~PeerNetwork() {
  Stop();
}

PeerAddress PeerNetwork::LocalAddress() const {
  return m_network->LocalAddress();
}

Result<Done, Error> PeerNetwork::Send(const PeerAddress& peer,
                                      const Envelope& envelope) {
  return m_network->Send(peer, envelope);
}

void PeerNetwork::Disconnect(const PeerAddress& peer) {
  m_network->Disconnect(peer);
}

void PeerNetwork::Stop() {
  m_network->Stop();
}

}  // namespace jasminelug::peers
