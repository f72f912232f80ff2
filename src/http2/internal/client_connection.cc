#include "src/http2/internal/client_connection.h"

#include <asio/error.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

#include "src/http2/internal/bind_weak.h"

namespace jasminelug::http2::internal {
namespace {

using asio::ip::tcp;

// A client does not allow the server to open streams (server push).
constexpr std::uint32_t kMaxPushedStreams = 0;

// Returns an error whose kind is kUnknown if a part of the request may have
// been sent, else kNotSent.
ClientError MakeError(const Exchange& exchange, const std::string& message) {
  const auto kind = exchange.m_sent ? ClientError::Kind::kUnknown
                                    : ClientError::Kind::kNotSent;
  return {kind, false, message};
}

std::string MakeAuthority(const ClientOptions& options) {
  const bool is_v6 = options.m_address.find(':') != std::string::npos;
  const std::string host =
      is_v6 ? "[" + options.m_address + "]" : options.m_address;
  return host + ":" + std::to_string(options.m_port);
}

}  // namespace

ClientConnection::ClientConnection(asio::io_context& io_context,
                                   const ClientOptions& options)
    : m_options(options), m_connect_timer(io_context) {}

void ClientConnection::Connect(std::function<void()> on_closed) {
  m_on_closed = std::move(on_closed);
  m_connection = std::make_shared<Connection>(
      tcp::socket(m_connect_timer.get_executor()), m_options.m_tls,
      Connection::Role::kClient, MakeHooks());
  std::error_code error;
  const auto address = asio::ip::make_address(m_options.m_address, error);
  if (error) {
    asio::post(
        m_connect_timer.get_executor(),
        [self = shared_from_this(), error] { self->OnConnectFailed(error); });
    return;
  }
  m_connect_timer.expires_after(m_options.m_connect_timeout);
  m_connect_timer.async_wait(
      [weak = weak_from_this()](const std::error_code& wait_error) {
        const auto self = weak.lock();
        if (self && !wait_error) {
          self->OnConnectFailed(std::make_error_code(std::errc::timed_out));
        }
      });
  m_connection->Stream().Socket().async_connect(
      tcp::endpoint(address, m_options.m_port),
      [self = shared_from_this()](const std::error_code& connect_error) {
        if (connect_error) {
          self->OnConnectFailed(connect_error);
          return;
        }
        self->Handshake();
      });
}

void ClientConnection::Handshake() {
  m_connection->Stream().AsyncClientHandshake(
      m_options.m_address,
      [self = shared_from_this()](const std::error_code& error) {
        if (error) {
          self->OnConnectFailed(error);
          return;
        }
        self->Open();
      });
}

void ClientConnection::OnConnectFailed(const std::error_code& error) {
  if (m_state != State::kConnecting) {
    return;
  }
  m_state = State::kRetired;
  m_connect_timer.cancel();
  const bool refused = error == asio::error::connection_refused;
  const ClientError failure = {ClientError::Kind::kNotSent, refused,
                               "cannot connect: " + error.message()};
  for (const auto& exchange : std::exchange(m_pending, {})) {
    exchange->Finish(failure);
  }
  m_connection->Close();
}

void ClientConnection::Open() {
  if (m_state != State::kConnecting) {
    return;
  }
  m_state = State::kOpen;
  m_connect_timer.cancel();
  m_connection->Start(kMaxPushedStreams);
  for (const auto& exchange : std::exchange(m_pending, {})) {
    Submit(exchange);
  }
}

ConnectionHooks ClientConnection::MakeHooks() {
  const auto weak = weak_from_this();
  ConnectionHooks hooks;
  hooks.m_on_header = BindWeak(weak, &ClientConnection::OnHeader);
  hooks.m_on_headers_received =
      BindWeak(weak, &ClientConnection::OnHeadersReceived);
  hooks.m_on_data = BindWeak(weak, &ClientConnection::OnData);
  hooks.m_on_message_received =
      BindWeak(weak, &ClientConnection::OnMessageReceived);
  hooks.m_on_headers_sent = BindWeak(weak, &ClientConnection::OnHeadersSent);
  hooks.m_on_stream_closed = BindWeak(weak, &ClientConnection::OnStreamClosed);
  hooks.m_on_goaway = BindWeak(weak, &ClientConnection::Retire);
  hooks.m_on_closed = BindWeak(weak, &ClientConnection::OnClosed);
  return hooks;
}

bool ClientConnection::IsUsable() const {
  return !m_connection->IsClosed() &&
         (m_state == State::kConnecting || m_state == State::kOpen);
}

std::size_t ClientConnection::Outstanding() const {
  return m_pending.size() + m_running.size();
}

void ClientConnection::Send(const std::shared_ptr<Exchange>& exchange) {
  StartTimeout(exchange);
  if (m_state == State::kConnecting) {
    m_pending.push_back(exchange);
    return;
  }
  Submit(exchange);
}

void ClientConnection::StartTimeout(const std::shared_ptr<Exchange>& exchange) {
  exchange->m_timer.async_wait(
      [weak = weak_from_this(),
       weak_exchange = std::weak_ptr(exchange)](const std::error_code& error) {
        const auto self = weak.lock();
        const auto expired = weak_exchange.lock();
        if (self && expired && !error) {
          self->OnTimeout(expired);
        }
      });
}

void ClientConnection::OnTimeout(const std::shared_ptr<Exchange>& exchange) {
  std::erase(m_pending, exchange);
  const bool running = Take(exchange->m_stream) != nullptr;
  if (running && !m_connection->IsClosed()) {
    m_connection->ResetStream(exchange->m_stream, NGHTTP2_CANCEL);
    // If nothing was received since the request was sent, the connection may be
    // broken without the client having been notified.
    if (exchange->m_sent && m_connection->LastRead() < exchange->m_sent_at) {
      Retire();
    }
  }
  exchange->Finish(MakeError(*exchange, "no response in time"));
  TerminateIfUnused();
}

void ClientConnection::Submit(const std::shared_ptr<Exchange>& exchange) {
  const std::int32_t stream = m_connection->SubmitRequest(
      m_options.m_tls ? "https" : "http", MakeAuthority(m_options),
      exchange->m_request);
  if (stream < 0) {
    Retire();
    asio::post(m_connect_timer.get_executor(), [exchange] {
      exchange->Finish(MakeError(*exchange, "no stream can be opened"));
    });
    return;
  }
  exchange->m_stream = stream;
  exchange->m_request = {};
  m_running[stream] = exchange;
  m_connection->Flush();
}

std::shared_ptr<Exchange> ClientConnection::Find(std::int32_t stream) const {
  const auto found = m_running.find(stream);
  return found == m_running.end() ? nullptr : found->second;
}

std::shared_ptr<Exchange> ClientConnection::Take(std::int32_t stream) {
  const auto node = m_running.extract(stream);
  return node.empty() ? nullptr : node.mapped();
}

void ClientConnection::OnHeadersSent(std::int32_t stream) {
  if (const auto exchange = Find(stream)) {
    exchange->m_sent = true;
    exchange->m_sent_at = std::chrono::steady_clock::now();
  }
}

void ClientConnection::OnHeader(std::int32_t stream, const Header& header) {
  const auto exchange = Find(stream);
  const std::size_t size = header.m_name.size() + header.m_value.size();
  if (!exchange || !AddReceivedBytes(*exchange, size)) {
    return;
  }
  if (header.m_name == ":status") {
    // nghttp2 has verified that the value consists of three digits.
    exchange->m_response.m_status = std::stoi(header.m_value);
    return;
  }
  exchange->m_response.m_headers.push_back(header);
}

void ClientConnection::OnHeadersReceived(std::int32_t stream) {
  constexpr int kFirstFinalStatus = 200;
  const auto exchange = Find(stream);
  if (exchange && exchange->m_response.m_status < kFirstFinalStatus) {
    exchange->m_response = {};
  }
}

void ClientConnection::OnData(std::int32_t stream, std::string_view data) {
  const auto exchange = Find(stream);
  if (exchange && AddReceivedBytes(*exchange, data.size())) {
    exchange->m_response.m_body.append(data);
  }
}

// Adds `size` to the size of the response. If it exceeds the limit, resets the
// stream, fails the exchange and returns false.
bool ClientConnection::AddReceivedBytes(Exchange& exchange, std::size_t size) {
  exchange.m_response_bytes += size;
  if (exchange.m_response_bytes <= m_options.m_max_response_bytes) {
    return true;
  }
  const auto taken = Take(exchange.m_stream);
  m_connection->ResetStream(taken->m_stream, NGHTTP2_CANCEL);
  taken->Finish(MakeError(*taken, "the response is larger than the limit"));
  TerminateIfUnused();
  return false;
}

void ClientConnection::OnMessageReceived(std::int32_t stream) {
  if (const auto exchange = Take(stream)) {
    exchange->Finish(exchange->m_response);
    TerminateIfUnused();
  }
}

void ClientConnection::OnStreamClosed(std::int32_t stream,
                                      std::uint32_t error) {
  const auto exchange = Take(stream);
  if (!exchange) {
    return;
  }
  if (error == NGHTTP2_REFUSED_STREAM) {
    exchange->m_sent = false;
  }
  exchange->Finish(
      MakeError(*exchange, "the stream was closed with " +
                               std::string(nghttp2_http2_strerror(error))));
  TerminateIfUnused();
}

void ClientConnection::OnClosed() {
  m_state = State::kClosed;
  m_connect_timer.cancel();
  for (const auto& exchange : std::exchange(m_pending, {})) {
    exchange->Finish(MakeError(*exchange, "the connection was closed"));
  }
  for (const auto& [stream, exchange] : std::exchange(m_running, {})) {
    exchange->Finish(MakeError(*exchange, "the connection was lost"));
  }
  if (m_on_closed) {
    m_on_closed();
  }
}

void ClientConnection::Retire() {
  if (m_state == State::kOpen) {
    m_state = State::kRetired;
    TerminateIfUnused();
  }
}

void ClientConnection::TerminateIfUnused() {
  if (m_state == State::kRetired && m_running.empty()) {
    m_connection->Terminate(0);
  }
}

void ClientConnection::Stop() {
  m_state = State::kClosed;
  m_on_closed = {};
  m_connect_timer.cancel();
  m_pending.clear();
  m_running.clear();
  m_connection->Close();
}

}  // namespace jasminelug::http2::internal
