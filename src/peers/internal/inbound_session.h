#ifndef SRC_PEERS_INTERNAL_INBOUND_SESSION_H_
#define SRC_PEERS_INTERNAL_INBOUND_SESSION_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/peers/codec.h"
#include "src/peers/envelope.h"
#include "src/peers/internal/stream.h"
#include "src/peers/peer_address.h"

namespace jasminelug::peers::internal {

// Receives envelopes on a connection that a peer opened.
class InboundSession : public std::enable_shared_from_this<InboundSession> {
 public:
  using MessageHook = std::function<void(const PeerAddress&, const Envelope&)>;
  using ClosedHook =
      std::function<void(const std::shared_ptr<InboundSession>&)>;

  InboundSession(asio::io_context& io,
                 std::shared_ptr<Stream> stream,
                 const PeerAddress& remote,
                 std::chrono::milliseconds handshake_timeout,
                 const MessageHook& on_message,
                 const ClosedHook& on_closed);

  // Performs the TLS handshake, then reads until the connection ends.
  void Start();

  // Closes the connection. No hook is called afterwards.
  void Stop();

 private:
  static constexpr std::size_t kReadBytes = 4096;

  void ArmHandshakeTimer();
  void Read();
  // Delivers all frames that have been received completely. Returns false if
  // the session has been stopped.
  bool DeliverCompleteFrames();
  // Decodes and delivers one frame. Returns false if the session has been
  // stopped. A body of an unknown kind is dropped and the session goes on.
  bool DeliverFrame(std::string_view payload);
  // Logs `reason`, ends the session and reports its end through m_on_closed.
  void Close(std::string_view reason);

  const std::shared_ptr<Stream> m_stream;
  const PeerAddress m_remote;
  const std::chrono::milliseconds m_handshake_timeout;
  const MessageHook m_on_message;
  const ClosedHook m_on_closed;
  asio::steady_timer m_handshake_timer;
  std::array<char, kReadBytes> m_buffer{};
  // Received bytes of frames that have not been delivered yet.
  std::string m_received;
  bool m_stopped = false;
};

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_INBOUND_SESSION_H_
