#ifndef SRC_PEERS_INTERNAL_STREAM_H_
#define SRC_PEERS_INTERNAL_STREAM_H_

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>

#include <cstddef>
#include <functional>
#include <variant>

#include "src/peers/tls.h"

namespace jasminelug::peers::internal {

// A TCP connection, plain or with mutual TLS. The caller must keep the stream
// alive until all completion handlers have run.
class Stream {
 public:
  using CompletionHandler = std::function<void(asio::error_code)>;
  using ReadHandler = std::function<void(asio::error_code, std::size_t)>;

  // Uses TLS with the context `tls`, or plain TCP if `tls` is null.
  Stream(asio::ip::tcp::socket socket, const TlsContext& tls);

  // Returns the underlying TCP socket.
  asio::ip::tcp::socket& Socket();

  // Performs the TLS handshake. Completes immediately without TLS.
  void AsyncHandshake(asio::ssl::stream_base::handshake_type type,
                      CompletionHandler handler);

  // Reads until `buffer` is full.
  void AsyncRead(asio::mutable_buffer buffer, CompletionHandler handler);

  // Reads the available bytes: at least one, at most the size of `buffer`.
  void AsyncReadSome(asio::mutable_buffer buffer, ReadHandler handler);

  // Writes all of `buffer`.
  void AsyncWrite(asio::const_buffer buffer, CompletionHandler handler);

  // Closes the connection. Pending handlers are called with
  // operation_aborted.
  void Close();

 private:
  using PlainStream = asio::ip::tcp::socket;
  using TlsStream = asio::ssl::stream<asio::ip::tcp::socket>;

  // Holds the context that the TLS stream refers to.
  TlsContext m_context;
  std::variant<PlainStream, TlsStream> m_stream;
};

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_STREAM_H_
