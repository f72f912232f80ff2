#include "src/peers/internal/stream.h"

#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <utility>

namespace jasminelug::peers::internal {

Stream::Stream(asio::ip::tcp::socket socket, const TlsContext& tls)
    : m_context(tls), m_stream(std::move(socket)) {
  if (tls) {
    PlainStream plain = std::get<PlainStream>(std::move(m_stream));
    m_stream.emplace<TlsStream>(std::move(plain), *tls);
  }
}

asio::ip::tcp::socket& Stream::Socket() {
  if (auto* tls = std::get_if<TlsStream>(&m_stream)) {
    return tls->next_layer();
  }
  return std::get<PlainStream>(m_stream);
}

void Stream::AsyncHandshake(asio::ssl::stream_base::handshake_type type,
                            CompletionHandler handler) {
  if (auto* tls = std::get_if<TlsStream>(&m_stream)) {
    tls->async_handshake(type, std::move(handler));
    return;
  }
  asio::post(Socket().get_executor(),
             [handler = std::move(handler)] { handler(asio::error_code()); });
}

void Stream::AsyncRead(asio::mutable_buffer buffer, CompletionHandler handler) {
  std::visit(
      [&](auto& stream) {
        asio::async_read(
            stream, buffer,
            [handler = std::move(handler)](asio::error_code error,
                                           std::size_t) { handler(error); });
      },
      m_stream);
}

void Stream::AsyncReadSome(asio::mutable_buffer buffer, ReadHandler handler) {
  std::visit(
      [&](auto& stream) { stream.async_read_some(buffer, std::move(handler)); },
      m_stream);
}

void Stream::AsyncWrite(asio::const_buffer buffer, CompletionHandler handler) {
  std::visit(
      [&](auto& stream) {
        asio::async_write(
            stream, buffer,
            [handler = std::move(handler)](asio::error_code error,
                                           std::size_t) { handler(error); });
      },
      m_stream);
}

void Stream::Close() {
  asio::error_code ignored;
  Socket().close(ignored);
}

}  // namespace jasminelug::peers::internal
