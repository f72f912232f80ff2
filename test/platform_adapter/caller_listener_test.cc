#include "platform/caller_listener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminelug::adapter {
namespace {

using asio::ip::tcp;

// Rows of the longest possible size, more than the buffers of a connection
// hold.
constexpr std::size_t kLargeRowBytes =
    kMaxLineBytes - std::string_view("ROW ").size();
constexpr std::size_t kLargeRows = 17;

class CallerListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerListenerTest);
  CPPUNIT_TEST(AnswerIsUnsentUntilTheCallerReadsIt);
  CPPUNIT_TEST(LineFeedInsideAFieldDoesNotEndAStatement);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A session may be closed while its last answer is being sent. See
  // gateway::NextShutdownStep().
  void AnswerIsUnsentUntilTheCallerReadsIt() {
    asio::io_context io;
    std::optional<gateway::SessionId> session;
    CallerListener::Hooks hooks;
    hooks.m_start = [&session](gateway::SessionId id, const SessionStart&) {
      session = id;
      return std::nullopt;
    };
    hooks.m_end = [](gateway::SessionId) {};
    hooks.m_unreadable = [](const std::string&) {};
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    CallerListener listener(io, endpoint, hooks);
    tcp::socket caller(io);
    caller.connect(listener.endpoint());
    asio::write(caller, asio::buffer(std::string("START beds key\r\n")));
    RunUntil(&io, [&session] { return session.has_value(); });
    CPPUNIT_ASSERT(!listener.HasUnsentAnswers());
    gateway::Answer answer;
    answer.m_outcome = gateway::Completed{
        std::vector<std::string>(kLargeRows, std::string(kLargeRowBytes, 'x')),
        "signature"};
    listener.Answer(*session, answer);
    CPPUNIT_ASSERT(listener.HasUnsentAnswers());
    listener.CloseSession(*session);
    io.poll();
    CPPUNIT_ASSERT(listener.HasUnsentAnswers());
    std::size_t received = 0;
    std::array<char, 65536> buffer{};
    std::error_code error;
    caller.non_blocking(true);
    RunUntil(&io, [&] {
      received += caller.read_some(asio::buffer(buffer), error);
      return error == asio::error::eof;
    });
    CPPUNIT_ASSERT(received > kLargeRowBytes * kLargeRows);
    CPPUNIT_ASSERT(!listener.HasUnsentAnswers());
  }

  // A member ran the part of a statement before the line feed, and the rest as
  // a statement that nobody had sent.
  void LineFeedInsideAFieldDoesNotEndAStatement() {
    asio::io_context io;
    std::vector<std::string> texts;
    CallerListener::Hooks hooks;
    hooks.m_start = [](gateway::SessionId, const SessionStart&) {
      return std::nullopt;
    };
    hooks.m_statement = [&texts](gateway::SessionId,
                                 const gateway::Statement& statement) {
      texts.push_back(statement.m_text);
    };
    hooks.m_end = [](gateway::SessionId) {};
    hooks.m_unreadable = [](const std::string&) {};
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    CallerListener listener(io, endpoint, hooks);
    tcp::socket caller(io);
    caller.connect(listener.endpoint());
    const std::string write = "WRITE 1 a\nQUERY 2 WRITE 3 b";
    asio::write(caller, asio::buffer("START beds key\r\nQUERY 1 " + write +
                                     "\r\nQUERY 4 READ 5\r\n"));
    RunUntil(&io, [&texts] { return texts.size() >= 2; });
    CPPUNIT_ASSERT_EQUAL(write, texts[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("READ 5"), texts[1]);
  }

 private:
  template <typename Condition>
  static void RunUntil(asio::io_context* io, Condition condition) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < limit);
      io->run_for(std::chrono::milliseconds(1));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerListenerTest);

}  // namespace
}  // namespace jasminelug::adapter
