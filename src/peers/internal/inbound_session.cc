#include "src/peers/internal/inbound_session.h"

#include <utility>
#include <variant>

#include "src/peers/internal/logger.h"

namespace jasminelug::peers::internal {

InboundSession::InboundSession(asio::io_context& io,
                               std::shared_ptr<Stream> stream,
                               const PeerAddress& from,
                               std::chrono::milliseconds handshake_timeout,
                               const MessageHook& on_message,
                               const ClosedHook& on_closed)
    : m_stream(std::move(stream)),
      m_from(from),
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
                             self->ReadHeader();
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

void InboundSession::ReadHeader() {
  if (m_stopped) {
    return;
  }
  m_stream->AsyncRead(asio::buffer(m_header),
                      [self = shared_from_this()](asio::error_code error) {
                        if (error) {
                          self->Close(error.message());
                          return;
                        }
                        self->ReadPayload();
                      });
}

void InboundSession::ReadPayload() {
  const std::uint32_t length =
      DecodeFrameLength(std::string_view(m_header.data(), m_header.size()));
  if (length == 0 || length > kMaxFrameBytes) {
    Close("bad frame: length " + std::to_string(length));
    return;
  }
  m_payload.resize(length);
  m_stream->AsyncRead(asio::buffer(m_payload),
                      [self = shared_from_this()](asio::error_code error) {
                        if (error) {
                          self->Close(error.message());
                          return;
                        }
                        self->Deliver();
                      });
}

void InboundSession::Deliver() {
  if (m_stopped) {
    return;
  }
  const Result<Envelope, Error> decoded = DecodeEnvelope(m_payload);
  if (const auto* envelope = std::get_if<Envelope>(&decoded)) {
    if (m_on_message) {
      m_on_message(m_from, *envelope);
    }
    ReadHeader();
    return;
  }
  const Error& error = std::get<Error>(decoded);
  if (error.m_kind != ErrorKind::kUnknownBody) {
    Close("bad frame: " + error.m_message);
    return;
  }
  LogWarning("message dropped",
             {{"peer", ToString(m_from)}, {"reason", error.m_message}});
  ReadHeader();
}

void InboundSession::Close(std::string_view reason) {
  if (m_stopped) {
    return;
  }
  LogInfo("connection closed",
          {{"peer", ToString(m_from)}, {"reason", std::string(reason)}});
  Stop();
  m_on_closed(shared_from_this());
}

}  // namespace jasminelug::peers::internal
