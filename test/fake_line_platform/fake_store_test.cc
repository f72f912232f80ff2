#include "test/fake_line_platform/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <vector>

namespace jasminelug::fake_line_platform {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kObject[] = R"({"meta": {"name": "a"}, "spec": 1})";

// Runs an event loop until a condition holds. Returns false if it does not hold
// within 5 s.
bool RunUntil(asio::io_context* io, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + seconds(5);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    io->restart();
    io->run_for(milliseconds(5));
  }
  return true;
}

// A connection to the store.
class Client {
 public:
  Client(asio::io_context* io, std::uint16_t port) : m_io(*io), m_socket(*io) {
    m_socket.connect({asio::ip::address_v4::loopback(), port}, m_error);
    if (!m_error) {
      Read();
    }
  }

  void Send(const std::string& method,
            const std::string& target,
            const std::string& body = "") {
    const std::string request =
        method + " " + target +
        " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    asio::write(m_socket, asio::buffer(request));
  }

  // Sends a request and waits for the answer, which it returns with its head.
  std::string Call(const std::string& method,
                   const std::string& target,
                   const std::string& body = "") {
    m_received.clear();
    Send(method, target, body);
    CPPUNIT_ASSERT_MESSAGE(target,
                           RunUntil(&m_io, [this] { return HasAnswer(); }));
    return m_received;
  }

  // Returns whether the answer is there. The bodies of the store are JSON
  // objects and come in one piece with the head.
  bool HasAnswer() const {
    return !m_received.empty() && m_received.back() == '}';
  }
  const std::string& received() const { return m_received; }
  // Returns whether the connection was refused or closed.
  bool is_closed() const { return static_cast<bool>(m_error); }

 private:
  void Read() {
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [this](std::error_code error, std::size_t size) {
                               if (error == asio::error::operation_aborted) {
                                 return;
                               }
                               m_error = error;
                               m_received.append(m_buffer.data(), size);
                               if (!error) {
                                 Read();
                               }
                             });
  }

  asio::io_context& m_io;
  tcp::socket m_socket;
  std::array<char, 4096> m_buffer{};
  std::string m_received;
  asio::error_code m_error;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string EraHeader(int era) {
  return "\r\nStore-Era: " + std::to_string(era) + "\r\n";
}

class FakeStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FakeStoreTest);
  CPPUNIT_TEST(AllAnswersTellTheEra);
  CPPUNIT_TEST(ConnectionsAreClosedAndRefusedWhileAway);
  CPPUNIT_TEST(WaitingWatchIsCutOff);
  CPPUNIT_TEST(WatchFromLostRevisionIsGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllAnswersTellTheEra() {
    struct Case {
      std::string m_method;
      std::string m_target;
      std::string m_body;
      int m_status;
    };
    const std::vector<Case> cases = {
        {"POST", "/-/objects/k", kObject, 200},
        {"POST", "/-/objects/k", kObject, 409},
        {"GET", "/-/objects/k", "", 200},
        {"GET", "/-/objects/k/a", "", 200},
        {"GET", "/-/objects/k/none", "", 404},
        {"PUT", "/-/objects/k/a", kObject, 200},
        {"PUT", "/-/objects/k/none", kObject, 404},
        {"GET", "/-/objects/k?watch=0&wait-ms=1000", "", 200},
        {"GET", "/-/objects/k?watch=99&wait-ms=1000", "", 410},
        {"GET", "/-/objects/none?watch=0&wait-ms=1", "", 200},
        {"POST", "/promote", R"({"id": "m1"})", 200},
        {"POST", "/promote", R"({"id": "m2"})", 409},
        {"DELETE", "/-/objects/k/a?revision=99", "", 409},
        {"DELETE", "/-/objects/k/a", "", 200},
        {"GET", "/none", "", 404},
    };
    const ObjectStore::Snapshot snapshot = m_store.TakeSnapshot();
    for (int era = 1; era <= 3; ++era) {
      Client client(&m_io, m_store.port());
      for (const Case& row : cases) {
        const std::string answer =
            client.Call(row.m_method, row.m_target, row.m_body);
        std::string message = row.m_method + " " + row.m_target + " in era " +
                              std::to_string(era) + " got ";
        message += answer;
        CPPUNIT_ASSERT_MESSAGE(
            message,
            Contains(answer, "HTTP/1.1 " + std::to_string(row.m_status) + " "));
        CPPUNIT_ASSERT_MESSAGE(message, Contains(answer, EraHeader(era)));
      }
      m_store.Leave();
      m_store.Return(snapshot);
    }
  }

  void ConnectionsAreClosedAndRefusedWhileAway() {
    const ObjectStore::Snapshot snapshot = m_store.TakeSnapshot();
    const std::uint16_t port = m_store.port();
    Client idle(&m_io, port);
    idle.Call("POST", "/-/objects/k", kObject);
    m_store.Leave();
    CPPUNIT_ASSERT(m_store.is_away());
    CPPUNIT_ASSERT(RunUntil(&m_io, [&idle] { return idle.is_closed(); }));
    CPPUNIT_ASSERT(Client(&m_io, port).is_closed());
    // What is written meanwhile is lost, too.
    m_store.Put("k", "b", 1);
    m_store.Return(snapshot);
    CPPUNIT_ASSERT(!m_store.is_away());
    CPPUNIT_ASSERT_EQUAL(port, m_store.port());
    Client client(&m_io, port);
    for (const char* lost : {"/-/objects/k/a", "/-/objects/k/b"}) {
      CPPUNIT_ASSERT_MESSAGE(
          lost, Contains(client.Call("GET", lost), "HTTP/1.1 404 "));
    }
  }

  void WaitingWatchIsCutOff() {
    for (const char* kind : {"k", "none"}) {
      m_store.Put("k", "a", kind);
      const ObjectStore::Snapshot snapshot = m_store.TakeSnapshot();
      Client client(&m_io, m_store.port());
      client.Send("GET", std::string("/-/objects/") + kind +
                             "?watch=" + std::to_string(snapshot.m_revision) +
                             "&wait-ms=60000");
      CPPUNIT_ASSERT(!RunBriefly(client));
      m_store.Leave();
      m_store.Return(snapshot);
      CPPUNIT_ASSERT_MESSAGE(
          kind, RunUntil(&m_io, [&client] { return client.is_closed(); }));
      CPPUNIT_ASSERT_EQUAL(std::string(), client.received());
    }
  }

  void WatchFromLostRevisionIsGone() {
    m_store.Put("k", "a", 1);
    const ObjectStore::Snapshot snapshot = m_store.TakeSnapshot();
    m_store.Put("k", "a", 2);
    const std::string lost = std::to_string(m_store.TakeSnapshot().m_revision);
    const std::string target = "/-/objects/k?watch=" + lost + "&wait-ms=1";
    Client before(&m_io, m_store.port());
    CPPUNIT_ASSERT(Contains(before.Call("GET", target), "HTTP/1.1 200 "));
    m_store.Leave();
    m_store.Return(snapshot);
    Client client(&m_io, m_store.port());
    CPPUNIT_ASSERT(Contains(client.Call("GET", target), "HTTP/1.1 410 "));
    // The revision is given out again, and the store cannot tell.
    m_store.Put("k", "a", 3);
    CPPUNIT_ASSERT(Contains(client.Call("GET", target), "HTTP/1.1 200 "));
  }

 private:
  // Runs the event loop for a moment. Returns whether the client got an answer
  // or was closed.
  bool RunBriefly(const Client& client) {
    m_io.restart();
    m_io.run_for(milliseconds(50));
    return client.HasAnswer() || client.is_closed();
  }

  asio::io_context m_io;
  FakeStore m_store{m_io,
                    {asio::ip::address_v4::loopback(), 0},
                    [](const std::string& member) { return member == "m1"; }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeStoreTest);

}  // namespace
}  // namespace jasminelug::fake_line_platform
