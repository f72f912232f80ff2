#include "platform/member_links.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace jasminelug::adapter {
namespace {

using asio::ip::tcp;

constexpr std::size_t kLimitBytes = std::size_t{4} << 20;
constexpr std::size_t kRowBytes = std::size_t{64} << 10;
// Enough to exceed the limit and the buffers of the connection.
constexpr std::size_t kMaxRows = 1000;
constexpr gateway::ConnectionId kConnection(7);

// A member that accepts one connection.
class OneMember {
 public:
  explicit OneMember(asio::io_context* io)
      : m_acceptor(*io, {asio::ip::address_v4::loopback(), 0}), m_socket(*io) {
    m_acceptor.async_accept(m_socket, [this](std::error_code error) {
      CPPUNIT_ASSERT(!error);
      Send("READY I 1.1\r\n", [] {});
    });
  }

  gateway::Member Describe() const {
    gateway::Member member;
    member.m_id = gateway::MemberId("m");
    member.m_group = gateway::GroupName("g");
    member.m_address = gateway::Address(
        "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    return member;
  }

  // Sends rows until the connection fails, but not more than kMaxRows.
  void SendRows() {
    if (m_rows == kMaxRows) {
      return;
    }
    Send("ROW " + std::string(kRowBytes, 'x') + "\r\n", [this] {
      m_rows += 1;
      SendRows();
    });
  }

  // Sends an answer with so many rows.
  void SendAnswer(std::size_t rows) {
    std::string text;
    for (std::size_t i = 0; i < rows; ++i) {
      text += "ROW " + std::string(kRowBytes, 'x') + "\r\n";
    }
    Send(text + "COMPLETE signature\r\nREADY I 1.1\r\n", [] {});
  }

  std::size_t rows() const { return m_rows; }
  bool has_failed() const { return m_failed; }

 private:
  void Send(std::string text, std::function<void()> sent) {
    m_text = std::move(text);
    asio::async_write(
        m_socket, asio::buffer(m_text),
        [this, sent = std::move(sent)](std::error_code error, std::size_t) {
          m_failed = static_cast<bool>(error);
          if (!error) {
            sent();
          }
        });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::string m_text;
  std::size_t m_rows = 0;
  bool m_failed = false;
};

class MemberAnswerLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberAnswerLimitTest);
  CPPUNIT_TEST(AnswerWithoutAnEndIsGivenUp);
  CPPUNIT_TEST(AnswersInTurnAreNotAddedUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: a member sends rows and never completes the answer.
  void AnswerWithoutAnEndIsGivenUp() {
    OneMember member(&m_io);
    Open(member);
    member.SendRows();
    RunUntil([this, &member] {
      return !m_closed.empty() || member.rows() == kMaxRows;
    });
    CPPUNIT_ASSERT_EQUAL(std::string("an answer is too large"), m_closed);
    RunUntil([&member] { return member.has_failed(); });
    CPPUNIT_ASSERT(member.rows() >= kLimitBytes / kRowBytes);
  }

  void AnswersInTurnAreNotAddedUp() {
    OneMember member(&m_io);
    Open(member);
    for (std::size_t answer = 1; answer <= 4; ++answer) {
      member.SendAnswer(kLimitBytes / kRowBytes / 2);
      RunUntil([this, answer] { return m_answers == answer; });
    }
    CPPUNIT_ASSERT(m_closed.empty());
  }

 private:
  void Open(const OneMember& member) {
    m_links.Open(kConnection, member.Describe(), gateway::CustomerName("c"));
    RunUntil([this] { return m_opened; });
  }

  MemberLinks::Hooks Hooks() {
    MemberLinks::Hooks hooks;
    hooks.m_opened = [this](gateway::ConnectionId,
                            const std::optional<gateway::LogPosition>&) {
      m_opened = true;
    };
    hooks.m_answer = [this](gateway::ConnectionId, const gateway::Answer&) {
      m_answers += 1;
    };
    hooks.m_given_up = [](const GivenUpConnection&) {};
    hooks.m_closed = [this](gateway::ConnectionId,
                            std::optional<gateway::ErrorCode>,
                            const std::string& reason) { m_closed = reason; };
    return hooks;
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < limit);
      m_io.run_for(std::chrono::milliseconds(1));
    }
  }

  asio::io_context m_io;
  bool m_opened = false;
  std::size_t m_answers = 0;
  std::string m_closed;
  MemberLinks m_links{m_io, kLimitBytes, Hooks()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberAnswerLimitTest);

}  // namespace
}  // namespace jasminelug::adapter
