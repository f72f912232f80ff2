#ifndef SRC_HTTP2_INTERNAL_CONNECTION_H_
#define SRC_HTTP2_INTERNAL_CONNECTION_H_

#include <nghttp2/nghttp2.h>
#include <asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "src/http2/header.h"
#include "src/http2/internal/byte_stream.h"
#include "src/http2/request.h"
#include "src/http2/response.h"

namespace jasminelug::http2::internal {

// What a Connection tells its owner. Each hook may submit or close, as nothing
// is written and nothing destroyed before it returns.
struct ConnectionHooks {
  // A peer opened a stream (server only).
  std::function<void(std::int32_t stream)> m_on_stream_opened;
  std::function<void(std::int32_t stream, const Header&)> m_on_header;
  std::function<void(std::int32_t stream, std::string_view)> m_on_data;
  // One block of headers is complete: a message's, or its trailers.
  std::function<void(std::int32_t stream)> m_on_headers_received;
  // The peer's message is complete.
  std::function<void(std::int32_t stream)> m_on_message_received;
  // The stream's first headers are about to be written.
  std::function<void(std::int32_t stream)> m_on_headers_sent;
  // `error` is an HTTP/2 error code; no further hook names this stream.
  std::function<void(std::int32_t stream, std::uint32_t error)>
      m_on_stream_closed;
  // The peer will take no new streams.
  std::function<void()> m_on_goaway;
  // The last call: nothing more is read or written. Streams that were open get
  // no call of their own.
  std::function<void()> m_on_closed;
};

// Runs one nghttp2 session over a ByteStream. All calls come from the thread
// of the stream's executor.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class Role { kServer, kClient };

  // The connection lives as long as it reads or writes, or is referred to; the
  // hooks should refer to their owner weakly.
  Connection(asio::ip::tcp::socket socket,
             TlsContext tls,
             Role role,
             ConnectionHooks hooks);
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // The stream, to connect it and shake hands before Start.
  ByteStream& Stream() { return m_stream; }

  // Sends the settings and begins to read. `max_concurrent_streams` is what the
  // peer may open at once.
  void Start(std::uint32_t max_concurrent_streams);

  // Returns the id of the new stream, or a negative number if none can open.
  // The next Flush writes it, so that the caller can note the id before.
  std::int32_t SubmitRequest(const std::string& scheme,
                             const std::string& authority,
                             const Request& request);
  void SubmitResponse(std::int32_t stream, const Response& response);
  void ResetStream(std::int32_t stream, std::uint32_t error);

  // Writes what was submitted; within a hook this waits for its return.
  void Flush();

  // Asks the peer to open no more streams, as RFC 9113, section 6.8 advises:
  // a GOAWAY that names the highest possible stream, so none is cut.
  void SubmitShutdownNotice();

  // Sends GOAWAY with `last_stream`, then ends the connection once the peer has
  // closed its side too, or after a short while.
  void Terminate(std::int32_t last_stream);

  // Ends the connection at once.
  void Close();

  bool IsClosed() const { return m_closed; }

  // When bytes last arrived, and when they last arrived or left.
  std::chrono::steady_clock::time_point LastRead() const { return m_last_read; }
  std::chrono::steady_clock::time_point LastProgress() const {
    return m_last_progress;
  }

 private:
  struct Callbacks;
  struct OutgoingBody {
    std::string m_bytes;
    std::size_t m_offset = 0;
  };

  void Read();
  void OnRead(const std::error_code& error, std::size_t size);
  void Receive(std::size_t size);
  void FillOutput();
  void Write();
  void Drain();
  const nghttp2_data_provider* AddBody(std::int32_t stream,
                                       const std::string& body,
                                       nghttp2_data_provider* provider);

  ByteStream m_stream;
  ConnectionHooks m_hooks;
  nghttp2_session* m_session = nullptr;
  asio::steady_timer m_drain_timer;
  std::array<std::uint8_t, 16384> m_input;
  std::string m_output;
  std::map<std::int32_t, OutgoingBody> m_bodies;
  std::chrono::steady_clock::time_point m_last_read;
  std::chrono::steady_clock::time_point m_last_progress;
  // Set while nghttp2 runs, which must not be entered twice.
  bool m_in_session = false;
  bool m_writing = false;
  bool m_draining = false;
  bool m_closed = false;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_CONNECTION_H_
