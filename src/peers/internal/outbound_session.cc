#include "src/peers/internal/outbound_session.h"

#include <asio/error.hpp>

#include <chrono>
#include <utility>

#include "src/peers/internal/endpoint.h"
#include "src/peers/internal/logger.h"
#include "src/peers/internal/socket_options.h"

namespace jasminelug::peers::internal {
namespace {

// Whether the peer's machine itself answered that nothing listens there.
bool IsRefusal(asio::error_code error) {
  return error == asio::error::connection_refused;
}

}  // namespace

OutboundSession::OutboundSession(asio::io_context& io,
                                 const PeerAddress& peer,
                                 const PeerNetworkOptions& options,
                                 const PeerHooks& hooks,
                                 std::uint64_t jitter_seed)
    : m_io(io),
      m_peer(peer),
      m_options(options),
      m_hooks(hooks),
      m_delay(options.m_min_reconnect_delay,
              options.m_max_reconnect_delay,
              jitter_seed),
      m_timer(io) {}

Result<Done, Error> OutboundSession::Send(std::string frame) {
  if (IsFull(frame.size())) {
    return Error{ErrorKind::kQueueFull, "queue full for " + ToString(m_peer)};
  }
  m_queued_bytes += frame.size();
  m_queue.push_back(std::move(frame));
  if (m_state == State::kIdle) {
    Connect();
  } else if (m_state == State::kConnected && !m_writing) {
    WriteNext();
  }
  return Done{};
}

void OutboundSession::Stop() {
  m_state = State::kStopped;
  m_timer.cancel();
  DropQueue();
  if (m_stream) {
    m_stream->Close();
  }
}

bool OutboundSession::IsFull(std::size_t frame_bytes) const {
  return m_queue.size() >= m_options.m_max_queued_frames ||
         m_queued_bytes + frame_bytes > m_options.m_max_queued_bytes;
}

void OutboundSession::Connect() {
  m_state = State::kConnecting;
  m_stream =
      std::make_shared<Stream>(asio::ip::tcp::socket(m_io), m_options.m_tls);
  ArmTimer(m_options.m_connect_timeout);
  m_stream->Socket().async_connect(
      *ToEndpoint(m_peer),
      [self = shared_from_this(), stream = m_stream](asio::error_code error) {
        if (self->m_stream != stream || self->m_state != State::kConnecting) {
          return;
        }
        if (error) {
          self->FailAttempt(error);
          return;
        }
        self->Handshake();
      });
}

void OutboundSession::Handshake() {
  SetSocketOptions(m_stream->Socket(), m_options.m_write_timeout);
  m_stream->AsyncHandshake(
      asio::ssl::stream_base::client,
      [self = shared_from_this(), stream = m_stream](asio::error_code error) {
        if (self->m_stream != stream || self->m_state != State::kConnecting) {
          return;
        }
        if (error) {
          self->FailAttempt(error);
          return;
        }
        self->BecomeConnected();
      });
}

void OutboundSession::BecomeConnected() {
  m_timer.cancel();
  m_state = State::kConnected;
  m_delay.Reset();
  WatchForClose();
  WriteNext();
}

void OutboundSession::WriteNext() {
  m_writing = !m_queue.empty();
  if (!m_writing) {
    return;
  }
  m_written.clear();
  for (const std::string& frame : m_queue) {
    m_written += frame;
  }
  m_written_frames = m_queue.size();
  ArmWriteTimer();
  m_stream->AsyncWrite(
      asio::buffer(m_written),
      [self = shared_from_this(), stream = m_stream](asio::error_code error) {
        if (self->m_stream != stream || self->m_state != State::kConnected) {
          return;
        }
        if (error) {
          self->LoseConnection(error);
          return;
        }
        self->DropWritten();
        self->WriteNext();
      });
}

// One timer serves many writes: when it runs out before the present write's
// deadline, it is set again.
void OutboundSession::ArmWriteTimer() {
  m_write_deadline =
      std::chrono::steady_clock::now() + m_options.m_write_timeout;
  if (!m_write_timer_armed) {
    m_write_timer_armed = true;
    ArmTimer(m_options.m_write_timeout);
  }
}

void OutboundSession::OnWriteTimer() {
  m_write_timer_armed = false;
  if (!m_writing) {
    return;
  }
  const auto left = m_write_deadline - std::chrono::steady_clock::now();
  if (left <= left.zero()) {
    LoseConnection(asio::error::timed_out);
    return;
  }
  m_write_timer_armed = true;
  ArmTimer(std::chrono::ceil<std::chrono::milliseconds>(left));
}

// The peer sends nothing on this connection, so whatever the read gives ends
// it: the peer's close is seen before the next message is lost in it.
void OutboundSession::WatchForClose() {
  m_stream->AsyncRead(
      asio::buffer(&m_read_byte, 1),
      [self = shared_from_this(), stream = m_stream](asio::error_code error) {
        if (self->m_stream == stream && self->m_state == State::kConnected) {
          self->LoseConnection(error);
        }
      });
}

void OutboundSession::ArmTimer(std::chrono::milliseconds limit) {
  m_timer.expires_after(limit);
  m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
    // A timer that was set anew after it had run out is still to come.
    const bool is_due =
        self->m_timer.expiry() <= asio::steady_timer::clock_type::now();
    if (!error && is_due) {
      self->OnTimer();
    }
  });
}

void OutboundSession::OnTimer() {
  if (m_state == State::kConnecting) {
    FailAttempt(asio::error::timed_out);
  } else if (m_state == State::kConnected) {
    OnWriteTimer();
  } else if (m_state == State::kDelaying) {
    EndDelay();
  }
}

void OutboundSession::FailAttempt(asio::error_code error) {
  LogInfo("cannot connect",
          {{"peer", ToString(m_peer)}, {"reason", error.message()}});
  DropQueue();
  Delay();
  const auto& hook =
      IsRefusal(error) ? m_hooks.m_on_refused : m_hooks.m_on_unreachable;
  if (hook) {
    hook(m_peer);
  }
}

void OutboundSession::LoseConnection(asio::error_code error) {
  LogInfo("connection lost",
          {{"peer", ToString(m_peer)}, {"reason", error.message()}});
  // The frames may have been received, and must not be received twice.
  if (m_writing) {
    DropWritten();
  }
  Delay();
  if (m_hooks.m_on_lost) {
    m_hooks.m_on_lost(m_peer);
  }
  if (error == asio::error::timed_out && m_hooks.m_on_unreachable) {
    m_hooks.m_on_unreachable(m_peer);
  }
}

void OutboundSession::Delay() {
  m_stream->Close();
  m_writing = false;
  m_write_timer_armed = false;
  m_state = State::kDelaying;
  ArmTimer(m_delay.Next());
}

void OutboundSession::EndDelay() {
  m_state = State::kIdle;
  if (!m_queue.empty()) {
    Connect();
  }
}

void OutboundSession::DropQueue() {
  m_queue.clear();
  m_queued_bytes = 0;
}

void OutboundSession::DropWritten() {
  for (; m_written_frames > 0; --m_written_frames) {
    m_queued_bytes -= m_queue.front().size();
    m_queue.pop_front();
  }
}

}  // namespace jasminelug::peers::internal
