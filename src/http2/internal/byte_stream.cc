#include "src/http2/internal/byte_stream.h"

#include <asio/post.hpp>
#include <asio/ssl/host_name_verification.hpp>
#include <asio/write.hpp>

#include <string_view>
#include <utility>

namespace jasminelug::http2::internal {

ByteStream::ByteStream(asio::ip::tcp::socket socket, TlsContext tls)
    : m_tls_context(std::move(tls)), m_stream(std::move(socket)) {
  if (m_tls_context) {
    Plain plain = std::move(std::get<Plain>(m_stream));
    m_stream.emplace<Tls>(std::move(plain), *m_tls_context);
  }
}

asio::ip::tcp::socket& ByteStream::Socket() {
  if (Tls* tls = std::get_if<Tls>(&m_stream)) {
    return tls->next_layer();
  }
  return std::get<Plain>(m_stream);
}

void ByteStream::AsyncServerHandshake(Handler handler) {
  AsyncHandshake(asio::ssl::stream_base::server, std::move(handler));
}

void ByteStream::AsyncClientHandshake(const std::string& host,
                                      Handler handler) {
  if (Tls* tls = std::get_if<Tls>(&m_stream)) {
    std::error_code ignored;
    tls->set_verify_callback(asio::ssl::host_name_verification(host), ignored);
  }
  AsyncHandshake(asio::ssl::stream_base::client, std::move(handler));
}

void ByteStream::AsyncHandshake(asio::ssl::stream_base::handshake_type type,
                                Handler handler) {
  Tls* tls = std::get_if<Tls>(&m_stream);
  if (!tls) {
    asio::post(Socket().get_executor(),
               [handler = std::move(handler)] { handler({}); });
    return;
  }
  tls->async_handshake(
      type, [this, handler = std::move(handler)](const std::error_code& error) {
        handler(error ? error : CheckProtocol());
      });
}

std::error_code ByteStream::CheckProtocol() {
  const unsigned char* name = nullptr;
  unsigned int length = 0;
  SSL_get0_alpn_selected(std::get<Tls>(m_stream).native_handle(), &name,
                         &length);
  const std::string_view selected(reinterpret_cast<const char*>(name), length);
  if (selected == "h2") {
    return {};
  }
  return std::make_error_code(std::errc::protocol_not_supported);
}

void ByteStream::AsyncReadSome(asio::mutable_buffer buffer,
                               SizeHandler handler) {
  std::visit(
      [&](auto& stream) { stream.async_read_some(buffer, std::move(handler)); },
      m_stream);
}

void ByteStream::AsyncWrite(asio::const_buffer buffer, SizeHandler handler) {
  std::visit(
      [&](auto& stream) {
        asio::async_write(stream, buffer, std::move(handler));
      },
      m_stream);
}

void ByteStream::ShutdownSend() {
  std::error_code ignored;
  Socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ByteStream::Close() {
  std::error_code ignored;
  Socket().close(ignored);
}

}  // namespace jasminelug::http2::internal
