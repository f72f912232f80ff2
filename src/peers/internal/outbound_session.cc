#include "src/peers/internal/outbound_session.h"

#include <asio/error.hpp>

#include <chrono>
#include <utility>

#include "src/peers/internal/endpoint.h"
#include "src/peers/internal/logger.h"
#include "src/peers/internal/socket_options.h"

namespace jasminelug::peers::internal {
namespace {

// Returns whether the peer's host itself refused the connection because nothing
// listens at the address.
bool IsConnectionRefused(asio::error_code error) {
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
      m_reconnect_delay(options.m_min_reconnect_delay,
                        options.m_max_reconnect_delay,
                        jitter_seed),
      m_timer(io) {}

Result<Done, Error> OutboundSession::Send(std::string frame) {
  if (IsFull(frame.size())) {
    return Error{ErrorKind::kQueueFull,
                 "send queue is full for " + ToString(m_peer)};
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
          self->OnConnectFailed(error);
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
          self->OnConnectFailed(error);
          return;
        }
        self->OnConnected();
      });
}

void OutboundSession::OnConnected() {
  m_timer.cancel();
  m_state = State::kConnected;
  m_reconnect_delay.Reset();
  DetectClose();
  WriteNext();
}

void OutboundSession::WriteNext() {
  m_writing = !m_queue.empty();
  if (!m_writing) {
    return;
  }
  m_write_buffer.clear();
  for (const std::string& frame : m_queue) {
    m_write_buffer += frame;
  }
  m_frames_in_write = m_queue.size();
  ArmWriteTimer();
  m_stream->AsyncWrite(
      asio::buffer(m_write_buffer),
      [self = shared_from_this(), stream = m_stream](asio::error_code error) {
        if (self->m_stream != stream || self->m_state != State::kConnected) {
          return;
        }
        if (error) {
          self->OnConnectionLost(error);
          return;
        }
        self->DropFramesInWrite();
        self->WriteNext();
      });
}

// Sets the deadline of the current write. The timer is not restarted for each
// write; if it expires before the current deadline, OnWriteTimer() sets it
// again for the remaining time.
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
  const auto remaining = m_write_deadline - std::chrono::steady_clock::now();
  if (remaining <= remaining.zero()) {
    OnConnectionLost(asio::error::timed_out);
    return;
  }
  m_write_timer_armed = true;
  ArmTimer(std::chrono::ceil<std::chrono::milliseconds>(remaining));
}

// Reads in order to notice when the peer closes the connection, so that no
// further message is written to it and lost. The peer sends nothing on this
// connection, so the session ends it whatever the result of the read is.
void OutboundSession::DetectClose() {
  m_stream->AsyncRead(
      asio::buffer(&m_read_byte, 1),
      [self = shared_from_this(), stream = m_stream](asio::error_code error) {
        if (self->m_stream == stream && self->m_state == State::kConnected) {
          self->OnConnectionLost(error);
        }
      });
}

void OutboundSession::ArmTimer(std::chrono::milliseconds limit) {
  m_timer.expires_after(limit);
  m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
    // If the timer was set again after it expired but before this handler ran,
    // the new expiry is still in the future and has a handler of its own.
    const bool is_due =
        self->m_timer.expiry() <= asio::steady_timer::clock_type::now();
    if (!error && is_due) {
      self->OnTimer();
    }
  });
}

void OutboundSession::OnTimer() {
  if (m_state == State::kConnecting) {
    OnConnectFailed(asio::error::timed_out);
  } else if (m_state == State::kConnected) {
    OnWriteTimer();
  } else if (m_state == State::kWaitingToReconnect) {
    OnReconnectDelayElapsed();
  }
}

void OutboundSession::OnConnectFailed(asio::error_code error) {
  LogInfo("cannot connect",
          {{"peer", ToString(m_peer)}, {"reason", error.message()}});
  DropQueue();
  StartReconnectDelay();
  const auto& hook = IsConnectionRefused(error) ? m_hooks.m_on_refused
                                                : m_hooks.m_on_unreachable;
  if (hook) {
    hook(m_peer);
  }
}

void OutboundSession::OnConnectionLost(asio::error_code error) {
  LogInfo("connection lost",
          {{"peer", ToString(m_peer)}, {"reason", error.message()}});
  // The peer may have received the frames of the current write. They are not
  // sent again, because delivery is at most once.
  if (m_writing) {
    DropFramesInWrite();
  }
  StartReconnectDelay();
  if (m_hooks.m_on_lost) {
    m_hooks.m_on_lost(m_peer);
  }
  if (error == asio::error::timed_out && m_hooks.m_on_unreachable) {
    m_hooks.m_on_unreachable(m_peer);
  }
}

void OutboundSession::StartReconnectDelay() {
  m_stream->Close();
  m_writing = false;
  m_write_timer_armed = false;
  m_state = State::kWaitingToReconnect;
  ArmTimer(m_reconnect_delay.Next());
}

void OutboundSession::OnReconnectDelayElapsed() {
  m_state = State::kIdle;
  if (!m_queue.empty()) {
    Connect();
  }
}

void OutboundSession::DropQueue() {
  m_queue.clear();
  m_queued_bytes = 0;
}

void OutboundSession::DropFramesInWrite() {
  for (; m_frames_in_write > 0; --m_frames_in_write) {
    m_queued_bytes -= m_queue.front().size();
    m_queue.pop_front();
  }
}

}  // namespace jasminelug::peers::internal
