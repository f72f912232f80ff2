#include "src/peers/internal/network.h"

#include <chrono>
#include <string>
#include <utility>

#include "src/peers/codec.h"
#include "src/peers/internal/endpoint.h"
#include "src/peers/internal/logger.h"
#include "src/peers/internal/socket_options.h"
#include "src/peers/internal/stream.h"

namespace jasminelug::peers::internal {
namespace {

using asio::ip::tcp;

// Delay before accepting again after a failed accept. The usual cause of the
// failure is a lack of file descriptors, which an immediate retry would hit
// again.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

Result<Done, Error> OpenAcceptor(tcp::acceptor& acceptor,
                                 const tcp::endpoint& endpoint) {
  asio::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return Error{ErrorKind::kCannotListen, error.message()};
  }
  return Done{};
}

}  // namespace

Network::Network(asio::io_context& io,
                 const PeerNetworkOptions& options,
                 const PeerHooks& hooks)
    : m_io(io),
      m_options(options),
      m_hooks(hooks),
      m_acceptor(io),
      m_accept_timer(io),
      m_next_jitter_seed(options.m_jitter_seed) {}

Result<Done, Error> Network::Listen() {
  const std::optional<tcp::endpoint> endpoint = ToEndpoint(m_options.m_listen);
  if (!endpoint) {
    return Error{ErrorKind::kBadAddress, m_options.m_listen.m_host};
  }
  if (Result<Done, Error> opened = OpenAcceptor(m_acceptor, *endpoint);
      !IsOk(opened)) {
    return opened;
  }
  m_local = ToPeerAddress(m_acceptor.local_endpoint());
  Accept();
  return Done{};
}

Result<Done, Error> Network::Send(const PeerAddress& peer,
                                  const Envelope& envelope) {
  if (m_stopped) {
    return Error{ErrorKind::kStopped, "the peer network has been stopped"};
  }
  if (!ToEndpoint(peer)) {
    return Error{ErrorKind::kBadAddress, peer.m_host};
  }
  Result<std::string, Error> frame = EncodeFrame(envelope);
  if (!IsOk(frame)) {
    return GetError(frame);
  }
  return FindOrCreateSession(peer)->Send(TakeValue(std::move(frame)));
}

void Network::Disconnect(const PeerAddress& peer) {
  const auto found = m_outbound.find(peer);
  if (found != m_outbound.end()) {
    found->second->Stop();
    m_outbound.erase(found);
  }
}

void Network::Stop() {
  m_stopped = true;
  asio::error_code ignored;
  m_acceptor.close(ignored);
  m_accept_timer.cancel();
  for (const auto& [peer, session] : m_outbound) {
    session->Stop();
  }
  for (const auto& session : m_inbound) {
    session->Stop();
  }
  m_outbound.clear();
  m_inbound.clear();
}

void Network::Accept() {
  m_acceptor.async_accept(
      [self = shared_from_this()](asio::error_code error, tcp::socket socket) {
        if (self->m_stopped) {
          return;
        }
        if (error) {
          LogWarning("accept failed", {{"reason", error.message()}});
          self->ScheduleAccept();
          return;
        }
        self->StartInboundSession(std::move(socket));
        self->Accept();
      });
}

void Network::ScheduleAccept() {
  m_accept_timer.expires_after(kAcceptRetryDelay);
  m_accept_timer.async_wait(
      [self = shared_from_this()](asio::error_code error) {
        if (!error && !self->m_stopped) {
          self->Accept();
        }
      });
}

void Network::StartInboundSession(tcp::socket socket) {
  asio::error_code error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  if (error) {
    return;
  }
  if (m_inbound.size() >= m_options.m_max_inbound) {
    LogWarning("connection closed", {{"peer", ToString(ToPeerAddress(remote))},
                                     {"reason", "too many connections"}});
    return;
  }
  SetSocketOptions(socket, m_options.m_write_timeout);
  auto stream = std::make_shared<Stream>(std::move(socket), m_options.m_tls);
  auto session = std::make_shared<InboundSession>(
      m_io, std::move(stream), ToPeerAddress(remote),
      m_options.m_connect_timeout, m_hooks.m_on_message,
      [weak = weak_from_this()](const std::shared_ptr<InboundSession>& closed) {
        if (const auto self = weak.lock()) {
          self->m_inbound.erase(closed);
        }
      });
  m_inbound.insert(session);
  session->Start();
}

std::shared_ptr<OutboundSession> Network::FindOrCreateSession(
    const PeerAddress& peer) {
  std::shared_ptr<OutboundSession>& session = m_outbound[peer];
  if (!session) {
    session = std::make_shared<OutboundSession>(m_io, peer, m_options, m_hooks,
                                                m_next_jitter_seed++);
  }
  return session;
}

}  // namespace jasminelug::peers::internal
