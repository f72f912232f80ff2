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

// Callbacks of a Connection to its owner. A hook may submit frames or close the
// connection, since the connection writes or destroys nothing before the hook
// returns.
struct ConnectionHooks {
  // The peer opened a stream (server only).
  std::function<void(std::int32_t stream)> m_on_stream_opened;
  std::function<void(std::int32_t stream, const Header&)> m_on_header;
  std::function<void(std::int32_t stream, std::string_view)> m_on_data;
  // A block of header fields is complete: the headers of a message, of an
  // informational (1xx) response, or the trailers.
  std::function<void(std::int32_t stream)> m_on_headers_received;
  // The peer's message on the stream is complete.
  std::function<void(std::int32_t stream)> m_on_message_received;
  // The stream's first headers are about to be written.
  std::function<void(std::int32_t stream)> m_on_headers_sent;
  // The stream was closed; `error` is an HTTP/2 error code. No hook is called
  // for this stream any more.
  std::function<void(std::int32_t stream, std::uint32_t error)>
      m_on_stream_closed;
  // The peer sent GOAWAY, so it accepts no new streams.
  std::function<void()> m_on_goaway;
  // The connection was closed. This is the last call; m_on_stream_closed is not
  // called for the streams that were open.
  std::function<void()> m_on_closed;
};

// Runs one nghttp2 session over a ByteStream. All methods and hooks run on the
// thread of the stream's executor.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class Role { kServer, kClient };

  // Pending reads and writes hold a reference to the connection. To avoid
  // reference cycles, hooks should refer to their owner by std::weak_ptr.
  Connection(asio::ip::tcp::socket socket,
             TlsContext tls,
             Role role,
             ConnectionHooks hooks);
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns the byte stream, which must be connected and have completed its TLS
  // handshake before Start.
  ByteStream& Stream() { return m_stream; }

  // Sends the settings and starts to read. `max_concurrent_streams` is the
  // number of streams that the peer may have open at the same time.
  void Start(std::uint32_t max_concurrent_streams);

  // Submits a request and returns the ID of its new stream, or a negative
  // number if no stream can be opened. The request is not written before the
  // next Flush, so that the caller can store the ID before any hook is called
  // with it.
  std::int32_t SubmitRequest(const std::string& scheme,
                             const std::string& authority,
                             const Request& request);
  void SubmitResponse(std::int32_t stream, const Response& response);
  void ResetStream(std::int32_t stream, std::uint32_t error);

  // Writes the submitted frames. Within a hook, does nothing; they are then
  // written after the hook has returned.
  void Flush();

  // Asks the peer to open no more streams: sends a GOAWAY with the highest
  // possible stream ID, as RFC 9113, section 6.8 recommends, so that no stream
  // is aborted that the peer opens before it receives the GOAWAY.
  void SubmitShutdownNotice();

  // Sends GOAWAY with `last_stream` and shuts down the sending direction.
  // Closes the connection when the peer has closed its side, too, or after a
  // timeout.
  void Terminate(std::int32_t last_stream);

  // Closes the connection immediately.
  void Close();

  bool IsClosed() const { return m_closed; }

  // LastRead returns the time when bytes were last received, LastProgress the
  // time when bytes were last received or sent. Both start with the time of the
  // constructor.
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
  // Whether a call of nghttp2 is running; nghttp2 is not reentrant.
  bool m_in_session = false;
  bool m_writing = false;
  bool m_draining = false;
  bool m_closed = false;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_CONNECTION_H_
