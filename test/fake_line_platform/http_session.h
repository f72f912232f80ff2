#ifndef TEST_FAKE_LINE_PLATFORM_HTTP_SESSION_H_
#define TEST_FAKE_LINE_PLATFORM_HTTP_SESSION_H_

#include <http_parser.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminelug::fake_line_platform {

// HTTP/1.1 connection of a client of the fake platform.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  // Called for each request. Respond() must follow, at once or later.
  using RequestHook = std::function<void(std::shared_ptr<HttpSession>,
                                         const std::string& method,
                                         const std::string& target,
                                         const std::string& body)>;

  HttpSession(asio::ip::tcp::socket socket, RequestHook hook);

  void Start() { Read(); }

  // Sends an answer, with the era of the store in the header Store-Era.
  void Respond(int status, std::uint64_t store_era, const std::string& body);

  // Closes the connection. A request that was not answered never will be.
  void Close();

 private:
  void Read();

  asio::ip::tcp::socket m_socket;
  RequestHook m_hook;
  http_parser_settings m_settings{};
  http_parser m_parser{};
  std::array<char, 8192> m_buffer{};
  std::string m_target;
  std::string m_body;
  std::string m_outgoing;
  bool m_complete = false;
};

}  // namespace jasminelug::fake_line_platform

#endif  // TEST_FAKE_LINE_PLATFORM_HTTP_SESSION_H_
