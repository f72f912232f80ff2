#include "src/http2/internal/server_connection.h"

#include <algorithm>
#include <utility>

#include "src/http2/internal/bind_weak.h"

namespace jasminelug::http2::internal {
namespace {

// Maximum number of bytes of a rejected body that are read and discarded before
// the stream is reset.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{16} * 1024 * 1024;

}  // namespace
ServerConnection::ServerConnection(std::uint64_t id,
                                   const ServerOptions& options,
                                   RequestHook on_request,
                                   StreamAbortedHook on_stream_gone,
                                   std::function<void()> on_closed)
    : m_id(id),
      m_options(options),
      m_on_request(std::move(on_request)),
      m_on_stream_aborted(std::move(on_stream_gone)),
      m_on_closed(std::move(on_closed)) {}

void ServerConnection::Start(asio::ip::tcp::socket socket) {
  m_idle_timer = std::make_unique<asio::steady_timer>(socket.get_executor());
  m_connection =
      std::make_shared<Connection>(std::move(socket), m_options.m_tls,
                                   Connection::Role::kServer, MakeHooks());
  StartIdleTimer(m_connection->LastProgress());
  // The handler holds `connection`, which must exist until the handshake ends.
  m_connection->Stream().AsyncServerHandshake(
      [weak = weak_from_this(),
       connection = m_connection](const std::error_code& error) {
        if (const auto self = weak.lock()) {
          self->OnHandshake(error);
        }
      });
}

ConnectionHooks ServerConnection::MakeHooks() {
  const auto weak = weak_from_this();
  ConnectionHooks hooks;
  hooks.m_on_stream_opened = BindWeak(weak, &ServerConnection::OnStreamOpened);
  hooks.m_on_header = BindWeak(weak, &ServerConnection::OnHeader);
  hooks.m_on_data = BindWeak(weak, &ServerConnection::OnData);
  hooks.m_on_message_received =
      BindWeak(weak, &ServerConnection::OnMessageReceived);
  hooks.m_on_stream_closed = [weak](std::int32_t stream, std::uint32_t) {
    if (const auto self = weak.lock()) {
      self->OnStreamClosed(stream);
    }
  };
  hooks.m_on_closed = BindWeak(weak, &ServerConnection::OnClosed);
  return hooks;
}

void ServerConnection::OnHandshake(const std::error_code& error) {
  if (error || m_connection->IsClosed()) {
    m_connection->Close();
    return;
  }
  m_started = true;
  m_connection->Start(m_options.m_max_concurrent_streams);
}

void ServerConnection::OnStreamOpened(std::int32_t stream) {
  if (m_shutting_down) {
    m_connection->ResetStream(stream, NGHTTP2_REFUSED_STREAM);
    return;
  }
  m_streams[stream].m_request.m_id = {m_id, stream};
}

ServerConnection::Stream* ServerConnection::FindReceiving(std::int32_t stream) {
  const auto found = m_streams.find(stream);
  const bool receiving = found != m_streams.end() &&
                         found->second.m_state == StreamState::kReceiving;
  return receiving ? &found->second : nullptr;
}

void ServerConnection::OnHeader(std::int32_t stream, const Header& header) {
  Stream* entry = FindReceiving(stream);
  if (!entry) {
    return;
  }
  entry->m_header_bytes += header.m_name.size() + header.m_value.size();
  if (entry->m_header_bytes > m_options.m_max_header_bytes) {
    entry->m_state = StreamState::kRejected;
    m_connection->ResetStream(stream, NGHTTP2_ENHANCE_YOUR_CALM);
    return;
  }
  Request& request = entry->m_request;
  if (header.m_name == ":method") {
    request.m_method = header.m_value;
  } else if (header.m_name == ":path") {
    request.m_path = header.m_value;
  } else if (!header.m_name.starts_with(':')) {
    request.m_headers.push_back(header);
  }
}

void ServerConnection::OnData(std::int32_t stream, std::string_view data) {
  Stream* entry = FindReceiving(stream);
  if (!entry) {
    Discard(stream, data.size());
    return;
  }
  std::string& body = entry->m_request.m_body;
  if (data.size() > m_options.m_max_body_bytes - body.size()) {
    entry->m_state = StreamState::kRejected;
    m_connection->SubmitResponse(stream, m_options.m_body_too_large);
    return;
  }
  body.append(data);
}

// Reads the rest of a rejected body up to kMaxDiscardedBytes. RFC 9113, section
// 8.1 allows resetting the stream immediately after the response, but curl then
// discards the response.
void ServerConnection::Discard(std::int32_t stream, std::size_t size) {
  const auto found = m_streams.find(stream);
  if (found == m_streams.end()) {
    return;
  }
  found->second.m_discarded_bytes += size;
  if (found->second.m_discarded_bytes > kMaxDiscardedBytes) {
    m_connection->ResetStream(stream, NGHTTP2_NO_ERROR);
  }
}

void ServerConnection::OnMessageReceived(std::int32_t stream) {
  Stream* entry = FindReceiving(stream);
  if (!entry) {
    return;
  }
  entry->m_state = StreamState::kDispatched;
  m_last_dispatched = std::max(m_last_dispatched, stream);
  const Request request = std::exchange(entry->m_request, {});
  m_on_request(request, MakeResponder(stream));
}

Responder ServerConnection::MakeResponder(std::int32_t stream) {
  return Responder([weak = weak_from_this(), stream](const Response& response) {
    if (const auto self = weak.lock()) {
      self->Answer(stream, response);
    }
  });
}

void ServerConnection::Answer(std::int32_t stream, const Response& response) {
  const auto found = m_streams.find(stream);
  if (found == m_streams.end()) {
    return;
  }
  found->second.m_state = StreamState::kAnswered;
  m_connection->SubmitResponse(stream, response);
}

void ServerConnection::OnStreamClosed(std::int32_t stream) {
  const auto node = m_streams.extract(stream);
  if (!node.empty()) {
    ReportAborted(stream, node.mapped());
  }
  TerminateIfUnused();
}

void ServerConnection::ReportAborted(std::int32_t stream, const Stream& entry) {
  if (entry.m_state == StreamState::kDispatched && m_on_stream_aborted) {
    m_on_stream_aborted({m_id, stream});
  }
}

void ServerConnection::OnClosed() {
  m_idle_timer->cancel();
  for (const auto& [stream, entry] : std::exchange(m_streams, {})) {
    ReportAborted(stream, entry);
  }
  m_on_closed();
}

void ServerConnection::Shutdown() {
  m_shutting_down = true;
  if (!m_started) {
    m_connection->Close();
    return;
  }
  m_connection->SubmitShutdownNotice();
  TerminateIfUnused();
}

void ServerConnection::TerminateIfUnused() {
  if (m_shutting_down && m_streams.empty()) {
    m_connection->Terminate(m_last_dispatched);
  }
}

void ServerConnection::Stop() {
  m_on_stream_aborted = {};
  m_on_closed = [] {};
  m_idle_timer->cancel();
  m_streams.clear();
  m_connection->Close();
}

bool ServerConnection::HasUnansweredRequest() const {
  return std::any_of(m_streams.begin(), m_streams.end(), [](const auto& item) {
    return item.second.m_state == StreamState::kDispatched;
  });
}

void ServerConnection::StartIdleTimer(
    std::chrono::steady_clock::time_point since) {
  m_idle_timer->expires_at(since + m_options.m_idle_timeout);
  m_idle_timer->async_wait(
      [weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
          self->CheckIdle();
        }
      });
}

void ServerConnection::CheckIdle() {
  const auto now = std::chrono::steady_clock::now();
  if (HasUnansweredRequest()) {
    StartIdleTimer(now);
    return;
  }
  if (now < m_connection->LastProgress() + m_options.m_idle_timeout) {
    StartIdleTimer(m_connection->LastProgress());
    return;
  }
  if (!m_started || m_idle_goaway_sent) {
    m_connection->Close();
    return;
  }
  // The client may send a request before it receives the GOAWAY. From the last
  // stream ID in the GOAWAY it learns that the request was not processed.
  m_idle_goaway_sent = true;
  m_connection->Terminate(m_last_dispatched);
  StartIdleTimer(now);
}

}  // namespace jasminelug::http2::internal
