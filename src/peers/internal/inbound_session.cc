#include "src/peers/internal/inbound_session.h"

#include <utility>
#include <variant>

#include "src/peers/internal/logger.h"

namespace jasminelug::peers::internal {

InboundSession::InboundSession(asio::io_context& io,
                               std::shared_ptr<Stream> stream,
                               const PeerAddress& remote,
                               std::chrono::milliseconds handshake_timeout,
                               const MessageHook& on_message,
                               const ClosedHook& on_closed)
    : m_stream(std::move(stream)),
      m_remote(remote),
      m_handshake_timeout(handshake_timeout),
      m_on_message(on_message),
      m_on_closed(on_closed),
      m_handshake_timer(io) {}

void InboundSession::Start() {
  ArmHandshakeTimer();
  m_stream->AsyncHandshake(asio::ssl::stream_base::server,
                           [self = shared_from_this()](asio::error_code error) {
                             self->m_handshake_timer.cancel();
                             if (error) {
                               self->Close("handshake: " + error.message());
                               return;
                             }
                             self->Read();
                           });
}

void InboundSession::Stop() {
  m_stopped = true;
  m_handshake_timer.cancel();
  m_stream->Close();
}

void InboundSession::ArmHandshakeTimer() {
  m_handshake_timer.expires_after(m_handshake_timeout);
  m_handshake_timer.async_wait(
      [self = shared_from_this()](asio::error_code error) {
        if (!error) {
          self->Close("handshake: timeout");
        }
      });
}

void InboundSession::Read() {
  if (m_stopped) {
    return;
  }
  m_stream->AsyncReadSome(
      asio::buffer(m_buffer),
      [self = shared_from_this()](asio::error_code error, std::size_t size) {
        if (error) {
          self->Close(error.message());
          return;
        }
        self->m_received.append(self->m_buffer.data(), size);
        if (self->DeliverCompleteFrames()) {
          self->Read();
        }
      });
}

bool InboundSession::DeliverCompleteFrames() {
  std::size_t begin = 0;
  while (m_received.size() - begin >= kFrameHeaderBytes) {
    const std::string_view frame = std::string_view(m_received).substr(begin);
    const std::uint32_t length = DecodeFrameLength(frame);
    if (length == 0 || length > kMaxFrameBytes) {
      Close("bad frame: length " + std::to_string(length));
      return false;
    }
    if (frame.size() < kFrameHeaderBytes + length) {
      break;
    }
    if (!DeliverFrame(frame.substr(kFrameHeaderBytes, length))) {
      return false;
    }
    begin += kFrameHeaderBytes + length;
  }
  m_received.erase(0, begin);
  return true;
}

bool InboundSession::DeliverFrame(std::string_view payload) {
  const Result<Envelope, Error> decoded = DecodeEnvelope(payload);
  if (const auto* envelope = std::get_if<Envelope>(&decoded)) {
    if (m_on_message) {
      m_on_message(m_remote, *envelope);
    }
    return !m_stopped;
  }
  const Error& error = std::get<Error>(decoded);
  if (error.m_kind != ErrorKind::kUnknownBody) {
    Close("bad frame: " + error.m_message);
    return false;
  }
  LogWarning("message dropped",
             {{"peer", ToString(m_remote)}, {"reason", error.m_message}});
  return true;
}

void InboundSession::Close(std::string_view reason) {
  if (m_stopped) {
    return;
  }
  LogInfo("connection closed",
          {{"peer", ToString(m_remote)}, {"reason", std::string(reason)}});
  Stop();
  m_on_closed(shared_from_this());
}

}  // namespace jasminelug::peers::internal
