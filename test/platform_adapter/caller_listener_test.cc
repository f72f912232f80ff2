#include "platform/caller_listener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
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
constexpr gateway::CallerBufferLimits kLimits = {std::size_t{64} << 20, 100};

class CallerListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerListenerTest);
  CPPUNIT_TEST(AnswerIsUnsentUntilTheCallerReadsIt);
  CPPUNIT_TEST(LineFeedInsideAFieldDoesNotEndAStatement);
  CPPUNIT_TEST(ReadingPausesWhileAnswersAreNotRead);
  CPPUNIT_TEST(ReadingPausesWhileStatementsAreUnanswered);
  CPPUNIT_TEST(CallersThatSendAheadTakeTurns);
  CPPUNIT_TEST(ResetIsNoticedWhileReadingIsPaused);
  CPPUNIT_TEST(StatementsHeldAtACloseAreRefused);
  CPPUNIT_TEST(HeaviestCallerIsClosed);
  CPPUNIT_TEST(TooManyConnectionsCloseTheOldestWithoutASession);
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
    CallerListener listener(io, endpoint, kLimits, hooks);
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
    CallerListener listener(io, endpoint, kLimits, hooks);
    tcp::socket caller(io);
    caller.connect(listener.endpoint());
    const std::string write = "WRITE 1 a\nQUERY 2 WRITE 3 b";
    asio::write(caller, asio::buffer("START beds key\r\nQUERY 1 " + write +
                                     "\r\nQUERY 4 READ 5\r\n"));
    RunUntil(&io, [&texts] { return texts.size() >= 2; });
    CPPUNIT_ASSERT_EQUAL(write, texts[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("READ 5"), texts[1]);
  }

  // Load: a caller sends statements that the engine answers at once, and reads
  // nothing at first.
  // Guards against: review case 5, all answers stay in memory.
  void ReadingPausesWhileAnswersAreNotRead() {
    asio::io_context io;
    Server server(&io, kLimits);
    server.m_answers_at_once = true;
    tcp::socket caller = server.Connect();
    constexpr std::size_t kStatements = 300'000;
    std::string sent = "START beds key\r\n";
    for (std::size_t i = 0; i < kStatements; ++i) {
      sent += "QUERY " + std::to_string(i) + " ROLLBACK\r\n";
    }
    asio::async_write(caller, asio::buffer(sent),
                      [](std::error_code, std::size_t) {});
    RunUntilQuiet(&io, [&server] { return server.m_statements.size(); });
    const std::size_t handed_on = server.m_statements.size();
    CPPUNIT_ASSERT(handed_on > 0 && handed_on < kStatements);
    const auto bytes = static_cast<std::size_t>(
        handed_on * server.m_answer_bytes / sent.size());
    CPPUNIT_ASSERT(bytes < 3);
    // All statements are answered in their order once the caller reads.
    std::size_t answers = 0;
    std::array<char, 65536> buffer{};
    caller.non_blocking(true);
    RunUntil(&io, [&] {
      std::error_code error;
      const std::size_t size = caller.read_some(asio::buffer(buffer), error);
      answers += static_cast<std::size_t>(
          std::count(buffer.begin(), buffer.begin() + size, '\n'));
      return answers >= 2 * kStatements + 1;
    });
    CPPUNIT_ASSERT_EQUAL(kStatements, server.m_statements.size());
    for (std::size_t i = 0; i < kStatements; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), server.m_statements[i].m_id);
    }
  }

  // Lines that were complete before the pause are handed on afterwards, and the
  // caller's close is noticed.
  void ReadingPausesWhileStatementsAreUnanswered() {
    asio::io_context io;
    Server server(&io, kLimits);
    tcp::socket caller = server.Connect();
    asio::write(caller,
                asio::buffer(std::string("START beds key\r\nQUERY 1 READ 1\r\n"
                                         "QUERY 2 READ 2\r\nQUERY 3 READ 3\r\n"
                                         "QUERY 4 READ 4\r\n")));
    for (std::size_t answered = 0; answered < 4; ++answered) {
      const std::size_t expected = std::min<std::size_t>(answered + 2, 4);
      RunUntilQuiet(&io, [&server] { return server.m_statements.size(); });
      CPPUNIT_ASSERT_EQUAL(expected, server.m_statements.size());
      server.AnswerOne();
    }
    CPPUNIT_ASSERT_EQUAL(0, server.m_ended);
    caller.close();
    RunUntil(&io, [&server] { return server.m_ended == 1; });
  }

  // Load: callers send statements without a pause, which are answered at once.
  // Guards against: others wait for all that one of them has sent.
  void CallersThatSendAheadTakeTurns() {
    constexpr std::size_t kStatements = 800;
    constexpr std::size_t kMinTurns = 100;
    asio::io_context io;
    Server server(&io, kLimits);
    server.m_answers_at_once = true;
    tcp::socket first = server.Connect();
    tcp::socket second = server.Connect();
    for (const auto& [caller, text] :
         {std::pair(&first, "READ 1"), std::pair(&second, "READ 2")}) {
      std::string sent = "START beds key\r\n";
      for (std::size_t i = 0; i < kStatements; ++i) {
        sent += "QUERY q " + std::string(text) + "\r\n";
      }
      asio::write(*caller, asio::buffer(sent));
    }
    RunUntil(&io, [&server] {
      return server.m_statements.size() == 2 * kStatements;
    });
    std::size_t turns = 0;
    for (std::size_t i = 1; i < server.m_statements.size(); ++i) {
      turns +=
          server.m_statements[i].m_text != server.m_statements[i - 1].m_text;
    }
    CPPUNIT_ASSERT(turns >= kMinTurns);
  }

  void ResetIsNoticedWhileReadingIsPaused() {
    asio::io_context io;
    Server server(&io, kLimits);
    tcp::socket caller = server.Connect();
    asio::write(
        caller,
        asio::buffer(std::string("START beds key\r\nQUERY 1 READ 1\r\n")));
    RunUntil(&io, [&server] { return server.m_statements.size() == 1; });
    server.AnswerOne(kLargeRows);
    asio::write(caller, asio::buffer(std::string("QUERY 2 READ 2\r\n")));
    RunUntilQuiet(&io, [&server] { return server.m_statements.size(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.m_statements.size());
    caller.close();
    RunUntil(&io, [&server] { return server.m_ended == 1; });
    CPPUNIT_ASSERT(!server.m_listener->HasUnsentAnswers());
  }

  // A stopping engine closes a session while one of its statements is held.
  void StatementsHeldAtACloseAreRefused() {
    asio::io_context io;
    Server server(&io, kLimits);
    tcp::socket caller = server.Connect();
    asio::write(
        caller,
        asio::buffer(std::string("START beds key\r\nQUERY 1 READ 1\r\n")));
    RunUntil(&io, [&server] { return server.m_statements.size() == 1; });
    server.AnswerOne(kLargeRows);
    asio::write(caller, asio::buffer(std::string("QUERY 2 READ 2\r\n")));
    // The read that was pending before the pause takes the statement.
    RunUntilQuiet(&io, [&server] { return server.m_statements.size(); });
    server.m_listener->CloseSession(*server.m_session);
    const std::string received = ReadAll(&io, &caller);
    CPPUNIT_ASSERT(received.size() > kLargeRowBytes * kLargeRows);
    CPPUNIT_ASSERT(received.ends_with(
        "READY I -\r\nERROR BUSY the session was closed\r\n"));
  }

  // The caller with the most buffered bytes is closed, and learns the reason
  // unless an answer is on its way.
  void HeaviestCallerIsClosed() {
    struct Case {
      const char* m_name;
      const char* m_sent;
      std::size_t m_answer_rows;
      const char* m_expected_end;
    };
    const std::vector<Case> cases = {
        {"half a line", "QUERY 1 WRITE 2 ", 0,
         "ERROR BUSY too much is buffered\r\n"},
        {"half a line after a statement", "QUERY 1 READ 1\r\nQUERY 2 WRITE 2 ",
         0, "READY I -\r\n"},
        {"an answer that is not read", "QUERY 1 READ 1\r\n", kLargeRows, "xxx"},
    };
    for (const Case& row : cases) {
      asio::io_context io;
      Server server(&io, {std::size_t{512} << 10, 100});
      tcp::socket other = server.Connect();
      tcp::socket caller = server.Connect();
      asio::write(other, asio::buffer(std::string("START beds key\r\n")));
      asio::write(caller,
                  asio::buffer("START beds key\r\n" + std::string(row.m_sent)));
      if (row.m_answer_rows > 0) {
        RunUntil(&io, [&server] { return !server.m_statements.empty(); });
        server.AnswerOne(row.m_answer_rows);
      } else {
        asio::async_write(caller, asio::buffer(m_long_field),
                          [](std::error_code, std::size_t) {});
      }
      RunUntil(&io, [&server] { return server.m_overloads == 1; });
      const std::string received = ReadAll(&io, &caller);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             received.ends_with(row.m_expected_end));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, 1, server.m_ended);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::size_t{1},
                                   server.m_listener->connection_count());
    }
  }

  void TooManyConnectionsCloseTheOldestWithoutASession() {
    asio::io_context io;
    Server server(&io, {std::size_t{64} << 20, 2});
    tcp::socket silent = server.Connect();
    tcp::socket caller = server.Connect();
    asio::write(caller, asio::buffer(std::string("START beds key\r\n")));
    RunUntil(&io, [&server] { return server.m_session.has_value(); });
    tcp::socket second = server.Connect();
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR BUSY too many connections\r\n"),
                         ReadAll(&io, &silent));
    server.m_session.reset();
    asio::write(second, asio::buffer(std::string("START beds key\r\n")));
    RunUntil(&io, [&server] { return server.m_session.has_value(); });
    // All connections have sessions now, so the new one is refused.
    tcp::socket third = server.Connect();
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR BUSY too many connections\r\n"),
                         ReadAll(&io, &third));
    CPPUNIT_ASSERT_EQUAL(2, server.m_overloads);
  }

 private:
  // A listener whose statements the test answers.
  struct Server {
    Server(asio::io_context* io, const gateway::CallerBufferLimits& limits)
        : m_io(io) {
      CallerListener::Hooks hooks;
      hooks.m_start = [this](gateway::SessionId id, const SessionStart&) {
        m_session = id;
        return std::nullopt;
      };
      hooks.m_statement = [this](gateway::SessionId id,
                                 gateway::Statement statement) {
        m_session = id;
        m_statements.push_back(std::move(statement));
        if (m_answers_at_once) {
          AnswerOne();
        }
      };
      hooks.m_end = [this](gateway::SessionId) { m_ended += 1; };
      hooks.m_unreadable = [](const std::string&) {};
      hooks.m_overload = [this](const std::string&, const gateway::CallerLoad&,
                                std::size_t) { m_overloads += 1; };
      m_listener = std::make_unique<CallerListener>(
          *io, tcp::endpoint(asio::ip::address_v4::loopback(), 0), limits,
          hooks);
    }

    tcp::socket Connect() {
      tcp::socket caller(*m_io);
      caller.connect(m_listener->endpoint());
      const std::size_t before = m_listener->connection_count();
      RunUntil(m_io, [this, before] {
        return m_listener->connection_count() > before || m_overloads > 0;
      });
      return caller;
    }

    // Answers a statement with so many rows of the longest possible size.
    void AnswerOne(std::size_t rows = 0) {
      gateway::Answer answer;
      gateway::Completed completed;
      if (rows > 0) {
        completed = {
            std::vector<std::string>(rows, std::string(kLargeRowBytes, 'x')),
            "signature"};
      }
      answer.m_outcome = completed;
      m_answer_bytes = FormatAnswer(answer).size();
      m_listener->Answer(*m_session, answer);
    }

    asio::io_context* m_io;
    std::unique_ptr<CallerListener> m_listener;
    std::optional<gateway::SessionId> m_session;
    std::vector<gateway::Statement> m_statements;
    bool m_answers_at_once = false;
    std::size_t m_answer_bytes = 0;
    int m_ended = 0;
    int m_overloads = 0;
  };

  // Returns what the caller receives until the end of its connection.
  static std::string ReadAll(asio::io_context* io, tcp::socket* caller) {
    std::string received;
    std::array<char, 65536> buffer{};
    std::error_code error;
    caller->non_blocking(true);
    RunUntil(io, [&] {
      received.append(buffer.data(),
                      caller->read_some(asio::buffer(buffer), error));
      return error && error != asio::error::would_block;
    });
    return received;
  }

  // Runs until `progress` has not changed for a while.
  template <typename Progress>
  static void RunUntilQuiet(asio::io_context* io, Progress progress) {
    std::size_t before = 0;
    do {
      before = progress();
      io->restart();
      io->run_for(std::chrono::milliseconds(100));
    } while (progress() != before);
  }

  const std::string m_long_field = std::string(std::size_t{900} << 10, 'x');

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
