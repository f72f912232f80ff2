#ifndef SRC_HTTP2_INTERNAL_BYTE_STREAM_H_
#define SRC_HTTP2_INTERNAL_BYTE_STREAM_H_

#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <variant>

#include "src/http2/tls.h"

namespace jasminelug::http2::internal {

// A TCP connection, with TLS if it is constructed with a TLS context. Pending
// operations refer to the ByteStream, so it can't be moved, and their handlers
// must keep it alive.
class ByteStream {
 public:
  using Handler = std::function<void(const std::error_code&)>;
  using SizeHandler = std::function<void(const std::error_code&, std::size_t)>;

  // Takes ownership of `socket`, which may be connected later; see Socket.
  ByteStream(asio::ip::tcp::socket socket, TlsContext tls);

  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;

  asio::ip::tcp::socket& Socket();

  // Performs the TLS handshake. Fails if the peers don't select h2 by ALPN or,
  // on the client, if the server's certificate is not valid for `host`. Without
  // TLS, only posts a call of `handler` without an error.
  void AsyncServerHandshake(Handler handler);
  void AsyncClientHandshake(const std::string& host, Handler handler);

  void AsyncReadSome(asio::mutable_buffer buffer, SizeHandler handler);
  void AsyncWrite(asio::const_buffer buffer, SizeHandler handler);

  // Shuts down the sending direction of the TCP connection. Reading remains
  // possible.
  void ShutdownSend();

  // Closes the connection. Pending operations fail.
  void Close();

 private:
  using Plain = asio::ip::tcp::socket;
  using Tls = asio::ssl::stream<asio::ip::tcp::socket>;

  void AsyncHandshake(asio::ssl::stream_base::handshake_type type,
                      Handler handler);
  std::error_code CheckProtocol();

  // Keeps the TLS context alive, since m_stream refers to it.
  TlsContext m_tls_context;
  std::variant<Plain, Tls> m_stream;
};

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_BYTE_STREAM_H_
