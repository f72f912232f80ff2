// Tests which bytes of a kept connection are taken for the response to a call.

#include "platform/http_channel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminelug::adapter {
namespace {

using asio::ip::tcp;

std::string Response(const std::string& body,
                     const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// How a server answers one request.
struct Script {
  // Sent at once, one after another, each in a segment of its own.
  std::vector<std::string> m_parts;
  enum class End { kKeep, kClose, kReset } m_end = End::kKeep;
};

// Answers the requests of all connections as the scripts say, one script a
// request. Requests must arrive in one read each.
class ScriptedServer {
 public:
  ScriptedServer(asio::io_context& io, std::vector<Script> scripts)
      : m_io(io),
        m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        m_scripts(std::move(scripts)) {
    Accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  int connections() const { return m_connections; }
  std::size_t requests() const { return m_requests; }
  // Returns whether everything has been sent that follows the requests so far.
  bool is_done() const { return m_finished == m_requests; }

 private:
  struct Client {
    explicit Client(tcp::socket socket) : m_socket(std::move(socket)) {}
    tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
  };

  void Accept() {
    m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
      if (error) {
        return;
      }
      m_connections += 1;
      socket.set_option(tcp::no_delay(true));
      Read(std::make_shared<Client>(std::move(socket)));
      Accept();
    });
  }

  void Read(const std::shared_ptr<Client>& client) {
    client->m_socket.async_read_some(
        asio::buffer(client->m_buffer),
        [this, client](std::error_code error, std::size_t) {
          if (!error && m_requests < m_scripts.size()) {
            Run(client, m_scripts[m_requests++], 0);
          }
        });
  }

  void Run(const std::shared_ptr<Client>& client,
           const Script& script,
           std::size_t part) {
    if (part == script.m_parts.size()) {
      End(client, script.m_end);
      return;
    }
    std::error_code ignored;  // The client may have closed the connection.
    asio::write(client->m_socket, asio::buffer(script.m_parts[part]), ignored);
    const auto timer = std::make_shared<asio::steady_timer>(
        m_io, std::chrono::milliseconds(10));
    timer->async_wait([this, client, timer, &script, part](std::error_code) {
      Run(client, script, part + 1);
    });
  }

  void End(const std::shared_ptr<Client>& client, Script::End end) {
    m_finished += 1;
    if (end == Script::End::kKeep) {
      Read(client);
      return;
    }
    std::error_code ignored;
    const bool resets = end == Script::End::kReset;
    client->m_socket.set_option(asio::socket_base::linger(resets, 0), ignored);
    client->m_socket.close(ignored);
  }

  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  const std::vector<Script> m_scripts;
  std::size_t m_requests = 0;
  std::size_t m_finished = 0;
  int m_connections = 0;
};

// What a call returned: the body, "status N" or "error".
std::string Describe(const HttpResult& result) {
  if (!IsOk(result)) {
    return "error";
  }
  const HttpResponse& response = GetValue(result);
  return response.m_status == 200
             ? response.m_body
             : "status " + std::to_string(response.m_status);
}

struct Case {
  std::string m_name;
  std::vector<Script> m_scripts;
  // The results of the calls, one for each script.
  std::vector<std::string> m_results;
  int m_connections = 1;
};

class HttpChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpChannelTest);
  CPPUNIT_TEST(OnlyTheFirstResponseIsTaken);
  CPPUNIT_TEST(InterimResponsesAreSkipped);
  CPPUNIT_TEST(ResponseThatBreaksOffIsAnError);
  CPPUNIT_TEST(AbandonedCallLeavesNoResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  static void Check(const std::vector<Case>& cases) {
    for (const Case& row : cases) {
      asio::io_context io(1);
      ScriptedServer server(io, row.m_scripts);
      HttpChannel channel(io, server.endpoint());
      for (const std::string& expected : row.m_results) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, expected,
                                     CallOn(io, &channel));
        RunUntil(io, [&server] { return server.is_done(); });
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_connections,
                                   server.connections());
    }
  }

  static void RunUntil(asio::io_context& io,
                       const std::function<bool()>& condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
      io.run_one_for(std::chrono::milliseconds(100));
    }
  }

  static std::string CallOn(asio::io_context& io, HttpChannel* channel) {
    std::optional<std::string> result;
    channel->Call(HttpRequest(), [&result](const HttpResult& answer) {
      result = Describe(answer);
    });
    RunUntil(io, [&result] { return result.has_value(); });
    return *result;
  }

  // The server sends more than one response to a request. The others are not
  // added to the first one, and do not become that of the next call.
  void OnlyTheFirstResponseIsTaken() {
    const std::string one = Response("one");
    const std::string late = Response("late");
    const Script two = {{Response("two")}};
    Check({{"none", {{{one}}, two}, {"one", "two"}, 1},
           {"in one segment", {{{one + late}}, two}, {"one", "two"}, 2},
           {"later", {{{one, late}}, two}, {"one", "two"}, 2},
           {"its first byte in the same segment",
            {{{one + late.substr(0, 1), late.substr(1)}}, two},
            {"one", "two"},
            2},
           {"only its first byte", {{{one, "H"}}, two}, {"one", "two"}, 2},
           {"an error",
            {{{one + Response("", "503 X")}}, two},
            {"one", "two"},
            2},
           {"other bytes", {{{one + "\r\n"}}, two}, {"one", "two"}, 2}});
  }

  void InterimResponsesAreSkipped() {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const Script two = {{Response("two")}};
    Check(
        {{"one segment", {{{interim + Response("one")}}, two}, {"one", "two"}},
         {"own segment",
          {{{interim, interim, Response("one")}}, two},
          {"one", "two"}}});
  }

  void ResponseThatBreaksOffIsAnError() {
    const std::string open = "HTTP/1.1 200 OK\r\n\r\n";
    const std::string one = Response("one");
    const std::string cut = one.substr(0, one.size() - 1);
    const Script two = {{Response("two")}};
    Check({{"reset before the end of a body without length",
            {{{open + "one"}, Script::End::kReset}, two},
            {"error", "two"},
            2},
           {"body without length, closed",
            {{{open + "one"}, Script::End::kClose}, two},
            {"one", "two"},
            2},
           {"closed before the end",
            {{{cut}, Script::End::kClose}, two},
            {"error", "two"},
            2},
           {"reset before the end",
            {{{cut}, Script::End::kReset}, two},
            {"error", "two"},
            2},
           {"closed after the response",
            {{{one}, Script::End::kClose}, two},
            {"one", "two"},
            2}});
  }

  // A call is given up, and its response comes while the next one waits.
  void AbandonedCallLeavesNoResponse() {
    asio::io_context io(1);
    ScriptedServer server(io, {{{Response("one")}},
                               {{"", "", "", Response("late")}},
                               {{"", "", "", "", Response("two")}}});
    HttpChannel channel(io, server.endpoint());
    CPPUNIT_ASSERT_EQUAL(std::string("one"), CallOn(io, &channel));
    channel.Call(HttpRequest(), [](const HttpResult&) {
      CPPUNIT_FAIL("the hook of an abandoned call was called");
    });
    RunUntil(io, [&server] { return server.requests() == 2; });
    channel.Abandon();
    CPPUNIT_ASSERT(!channel.is_calling());
    CPPUNIT_ASSERT_EQUAL(std::string("two"), CallOn(io, &channel));
    CPPUNIT_ASSERT_EQUAL(2, server.connections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpChannelTest);

}  // namespace
}  // namespace jasminelug::adapter
