#ifndef SRC_PEERS_INTERNAL_OUTBOUND_SESSION_H_
#define SRC_PEERS_INTERNAL_OUTBOUND_SESSION_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "jasminelug/common.h"
#include "src/peers/error.h"
#include "src/peers/internal/reconnect_delay.h"
#include "src/peers/internal/stream.h"
#include "src/peers/options.h"
#include "src/peers/peer_address.h"

namespace jasminelug::peers::internal {

// Maintains the connection to one peer and the queue of frames to send to it.
class OutboundSession : public std::enable_shared_from_this<OutboundSession> {
 public:
  OutboundSession(asio::io_context& io,
                  const PeerAddress& peer,
                  const PeerNetworkOptions& options,
                  const PeerHooks& hooks,
                  std::uint64_t jitter_seed);

  // Queues an encoded frame and starts to connect or write if necessary.
  //
  // Errors: kQueueFull.
  Result<Done, Error> Send(std::string frame);

  // Closes the connection and drops the queue. No hook is called afterwards.
  void Stop();

 private:
  enum class State {
    kIdle,
    kConnecting,
    kConnected,
    kWaitingToReconnect,
    kStopped
  };

  bool IsFull(std::size_t frame_bytes) const;
  void Connect();
  void Handshake();
  void OnConnected();
  // Writes all queued frames in one write operation.
  void WriteNext();
  void ArmWriteTimer();
  void OnWriteTimer();
  void DetectClose();
  void ArmTimer(std::chrono::milliseconds limit);
  void OnTimer();

  // Handle a failed attempt to connect and the loss of an established
  // connection. Both start the reconnect delay and report through the hooks.
  void OnConnectFailed(asio::error_code error);
  void OnConnectionLost(asio::error_code error);
  void StartReconnectDelay();
  void OnReconnectDelayElapsed();
  void DropQueue();
  // Removes the frames of the current write from the queue.
  void DropFramesInWrite();

  asio::io_context& m_io;
  const PeerAddress m_peer;
  const PeerNetworkOptions m_options;
  const PeerHooks m_hooks;
  ReconnectDelay m_reconnect_delay;
  // Expires at the connect timeout, the write timeout or the end of the
  // reconnect delay, depending on m_state.
  asio::steady_timer m_timer;
  State m_state = State::kIdle;
  // Replaced at each attempt to connect, so that a completion handler of an
  // earlier attempt can tell that it is outdated.
  std::shared_ptr<Stream> m_stream;
  std::deque<std::string> m_queue;
  std::size_t m_queued_bytes = 0;
  // State of the current write: whether there is one, its bytes, the number of
  // frames in them, and the time at which the write times out.
  bool m_writing = false;
  std::string m_write_buffer;
  std::size_t m_frames_in_write = 0;
  std::chrono::steady_clock::time_point m_write_deadline;
  bool m_write_timer_armed = false;
  // Buffer of the read that detects that the peer closes the connection.
  char m_read_byte = 0;
};

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_OUTBOUND_SESSION_H_
