#include "platform/member_links.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminelug::adapter {
namespace {

using asio::ip::tcp;

constexpr std::uint64_t kConnection = 7;
constexpr std::size_t kAnswerLimitBytes = std::size_t{64} << 20;

// What the hooks of a connection have reported.
struct Events {
  bool m_opened = false;
  bool m_closed = false;
  std::optional<gateway::ErrorCode> m_code;
  std::string m_reason;
  std::vector<gateway::Answer> m_answers;
  std::vector<GivenUpConnection> m_given_up;
  int m_repeated_starts = 0;
};

// Connects MemberLinks with a socket on which the test acts as the member.
class LinkFixture {
 public:
  explicit LinkFixture(const std::string& customer = "customer")
      : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_member(m_io),
        m_links(m_io, kAnswerLimitBytes, Hooks()) {
    gateway::Member member;
    member.m_id = gateway::MemberId("i-1");
    member.m_group = gateway::GroupName("g");
    member.m_address = gateway::Address(
        "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    m_links.Open(gateway::ConnectionId(kConnection), member,
                 gateway::CustomerName(customer));
  }

  // Accepts the connection and sends bytes of the member.
  void Reply(const std::string& bytes) {
    if (!m_member.is_open()) {
      m_acceptor.accept(m_member);
    }
    asio::write(m_member, asio::buffer(bytes));
  }

  // Closes the connection as the member.
  void Disconnect() { m_member.close(); }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < limit);
      m_io.run_for(std::chrono::milliseconds(1));
    }
  }

  // Runs until an answer was received. Returns the number of steps.
  int StepsUntilAnswer() {
    int steps = 0;
    while (m_events.m_answers.empty()) {
      steps += 1;
      m_io.run_one_for(std::chrono::seconds(20));
      CPPUNIT_ASSERT(steps < 1000);
    }
    return steps;
  }

  void Send(const std::vector<gateway::MemberStatement>& statements) {
    m_links.Send(gateway::ConnectionId(kConnection), statements);
  }

  // Returns all that the member has received. The connection must be closed.
  std::string Received() {
    std::string received;
    std::error_code error;
    asio::read(m_member, asio::dynamic_buffer(received), error);
    CPPUNIT_ASSERT(error);
    return received;
  }

  const Events& events() const { return m_events; }

 private:
  MemberLinks::Hooks Hooks() {
    MemberLinks::Hooks hooks;
    hooks.m_opened = [this](gateway::ConnectionId,
                            const std::optional<gateway::LogPosition>&) {
      m_events.m_opened = true;
    };
    hooks.m_answer = [this](gateway::ConnectionId,
                            const gateway::Answer& answer) {
      m_events.m_answers.push_back(answer);
    };
    hooks.m_closed = [this](gateway::ConnectionId,
                            std::optional<gateway::ErrorCode> code,
                            const std::string& reason) {
      m_events.m_closed = true;
      m_events.m_code = code;
      m_events.m_reason = reason;
    };
    hooks.m_start_repeated = [this](gateway::ConnectionId,
                                    const gateway::MemberId&) {
      m_events.m_repeated_starts += 1;
    };
    hooks.m_given_up = [this](const GivenUpConnection& link) {
      m_events.m_given_up.push_back(link);
    };
    return hooks;
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  tcp::socket m_member;
  Events m_events;
  MemberLinks m_links;
};

class MemberLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberLinksTest);
  CPPUNIT_TEST(OnlyReadyOpensAConnection);
  CPPUNIT_TEST(UnreadableAnswerClosesTheConnection);
  CPPUNIT_TEST(RepeatedStartLeavesTheConnectionOpen);
  CPPUNIT_TEST(LostConnectionIsNotGivenUp);
  CPPUNIT_TEST(LongAnswerIsReadInFewSteps);
  CPPUNIT_TEST(UnwritableStatementIsNotSentInPart);
  CPPUNIT_TEST(UnwritableNameIsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against: an answer waits for the turns of all callers after each few
  // kilobytes, so that its member seems to be slow.
  void LongAnswerIsReadInFewSteps() {
    constexpr std::size_t kRowBytes = std::size_t{32} << 10;
    LinkFixture link;
    link.Reply("READY I 3.1\r\n");
    link.RunUntil([&link] { return link.events().m_opened; });
    link.Reply("ROW " + std::string(kRowBytes, 'x') +
               "\r\nCOMPLETE s\r\nREADY I 3.1\r\n");
    CPPUNIT_ASSERT(link.StepsUntilAnswer() <= 4);
  }

  void OnlyReadyOpensAConnection() {
    struct Case {
      std::string m_reply;
      bool m_opens;
      bool m_given_up;
      std::optional<gateway::ErrorCode> m_code;
    };
    const std::vector<Case> cases = {
        {"READY I -\r\n", true, false, std::nullopt},
        {"READY I 3.1207\r\n", true, false, std::nullopt},
        {"ERROR WRONGNODE i-2\r\n", false, false,
         gateway::ErrorCode::kWrongMember},
        {"ERROR CONNLIMIT\r\n", false, false,
         gateway::ErrorCode::kConnectionLimit},
        {"READY T 3.1207\r\n", false, true, std::nullopt},
        {"READY I\r\n", false, true, std::nullopt},
        {"READY\r\n", false, true, std::nullopt},
        {"ERROR\r\n", false, true, std::nullopt},
        {"ROW a\r\nCOMPLETE x\r\nREADY I 3.1\r\n", false, true, std::nullopt},
        {"COMPLETE -\r\nREADY I 3.1\r\n", false, true, std::nullopt},
        {"HELLO\r\n", false, true, std::nullopt},
        {"\r\n", false, true, std::nullopt}};
    for (const Case& test : cases) {
      LinkFixture links;
      const Events& events = links.events();
      links.Reply(test.m_reply);
      links.RunUntil([&events] { return events.m_opened || events.m_closed; });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.m_reply, test.m_opens, events.m_opened);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.m_reply, test.m_given_up,
                                   !events.m_given_up.empty());
      CPPUNIT_ASSERT_MESSAGE(test.m_reply, test.m_code == events.m_code);
    }
  }

  void UnreadableAnswerClosesTheConnection() {
    const std::vector<std::string> cases = {
        "READY T 3.1\r\n", "COMPLETE x\r\nCOMPLETE y\r\nREADY I 3.1\r\n",
        "ROW " + std::string(kMaxLineBytes, 'x')};
    for (const std::string& bytes : cases) {
      LinkFixture links;
      const Events& events = links.events();
      links.Reply("READY I -\r\n" + bytes);
      links.RunUntil([&events] { return events.m_closed; });
      CPPUNIT_ASSERT(events.m_opened);
      CPPUNIT_ASSERT(events.m_answers.empty());
      CPPUNIT_ASSERT(!events.m_code);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.m_given_up.size());
      const GivenUpConnection& given_up = events.m_given_up.front();
      CPPUNIT_ASSERT(given_up.m_connection.value() == kConnection);
      CPPUNIT_ASSERT_EQUAL(std::string("i-1"), given_up.m_member.str());
      CPPUNIT_ASSERT(!given_up.m_reason.empty());
      CPPUNIT_ASSERT_EQUAL(given_up.m_reason, events.m_reason);
    }
  }

  void RepeatedStartLeavesTheConnectionOpen() {
    LinkFixture links;
    const Events& events = links.events();
    links.Reply("READY I -\r\nREADY I -\r\nCOMPLETE x\r\nREADY I 3.1\r\n");
    links.RunUntil([&events] { return !events.m_answers.empty(); });
    CPPUNIT_ASSERT_EQUAL(1, events.m_repeated_starts);
    CPPUNIT_ASSERT(!events.m_closed);
  }

  void LostConnectionIsNotGivenUp() {
    LinkFixture links;
    const Events& events = links.events();
    links.Reply("READY I -\r\nROW a\r\n");
    links.RunUntil([&events] { return events.m_opened; });
    links.Disconnect();
    links.RunUntil([&events] { return events.m_closed; });
    CPPUNIT_ASSERT(events.m_given_up.empty());
    CPPUNIT_ASSERT(events.m_answers.empty());
  }

  // A statement that the member would read as two of them.
  void UnwritableStatementIsNotSentInPart() {
    LinkFixture links;
    const Events& events = links.events();
    links.Reply("READY I -\r\n");
    links.RunUntil([&events] { return events.m_opened; });
    gateway::MemberStatement begin;
    begin.m_verb = gateway::MemberVerb::kBegin;
    gateway::MemberStatement write;
    write.m_id = "1";
    write.m_text = "WRITE x a\r\nQUERY 2 WRITE x b";
    links.Send({begin, write});
    links.RunUntil([&events] { return events.m_closed; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.m_given_up.size());
    CPPUNIT_ASSERT_EQUAL(std::string("START g customer i-1\r\n"),
                         links.Received());
  }

  // The member is not said to be unreachable, because it was not asked.
  void UnwritableNameIsNotSent() {
    for (const char* customer : {"a b", "a\r\nQUERY 1 READ x"}) {
      LinkFixture links(customer);
      const Events& events = links.events();
      links.RunUntil([&events] { return events.m_closed; });
      CPPUNIT_ASSERT(gateway::ErrorCode::kMalformed == events.m_code);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.m_given_up.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberLinksTest);

}  // namespace
}  // namespace jasminelug::adapter
