#include "test/fake_line_platform/http_session.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace jasminelug::fake_line_platform {

HttpSession::HttpSession(asio::ip::tcp::socket socket, RequestHook hook)
    : m_socket(std::move(socket)), m_hook(std::move(hook)) {
  http_parser_settings_init(&m_settings);
  m_settings.on_url = [](http_parser* parser, const char* at, size_t size) {
    static_cast<HttpSession*>(parser->data)->m_target.append(at, size);
    return 0;
  };
  m_settings.on_body = [](http_parser* parser, const char* at, size_t size) {
    static_cast<HttpSession*>(parser->data)->m_body.append(at, size);
    return 0;
  };
  m_settings.on_message_complete = [](http_parser* parser) {
    static_cast<HttpSession*>(parser->data)->m_complete = true;
    return 0;
  };
  http_parser_init(&m_parser, HTTP_REQUEST);
  m_parser.data = this;
}

void HttpSession::Read() {
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](std::error_code error, std::size_t size) {
        if (error) {
          return;
        }
        http_parser_execute(&self->m_parser, &self->m_settings,
                            self->m_buffer.data(), size);
        if (HTTP_PARSER_ERRNO(&self->m_parser) != HPE_OK) {
          return;
        }
        if (!self->m_complete) {
          self->Read();
          return;
        }
        self->m_complete = false;
        const std::string target = std::exchange(self->m_target, {});
        const std::string body = std::exchange(self->m_body, {});
        const std::string method =
            http_method_str(static_cast<http_method>(self->m_parser.method));
        self->m_hook(self, method, target, body);
      });
}

void HttpSession::Respond(int status,
                          std::uint64_t store_era,
                          const std::string& body) {
  m_outgoing = "HTTP/1.1 " + std::to_string(status) +
               " Status\r\nContent-Type: application/json\r\n"
               "Store-Era: " +
               std::to_string(store_era) +
               "\r\n"
               "Content-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
  asio::async_write(
      m_socket, asio::buffer(m_outgoing),
      [self = shared_from_this()](std::error_code error, std::size_t) {
        if (!error) {
          self->Read();
        }
      });
}

void HttpSession::Close() {
  std::error_code ignored;  // The socket is closed even on an error.
  m_socket.close(ignored);
}

}  // namespace jasminelug::fake_line_platform
