#include "platform/store_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jasminelug::adapter {
namespace {

using asio::ip::tcp;
using gateway::StoreKind;
using gateway::operator""s;

// Answers every request on one connection with the same body.
class CannedStore {
 public:
  CannedStore(asio::io_context& io,
              const std::string& body,
              const std::string& headers = "")
      : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}), m_socket(io) {
    m_response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n" + headers + "\r\n" + body;
    m_acceptor.async_accept(m_socket, [this](std::error_code error) {
      CPPUNIT_ASSERT(!error);
      Read();
    });
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

 private:
  void Read() {
    m_socket.async_read_some(
        asio::buffer(m_buffer), [this](std::error_code error, std::size_t) {
          if (!error) {
            asio::write(m_socket, asio::buffer(m_response));
            Read();
          }
        });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::array<char, 4096> m_buffer{};
  std::string m_response;
};

constexpr char kMember[] = R"({"meta": {"name": "NAME", "revision": 12},
  "spec": {"service": "huvo", "address": "10.0.0.9:80", "zone": "north",
    "slots": 3, "state": "ready", "db-role": "primary", "born": 1700}})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string Member(const std::string& name) {
  return Replace(kMember, "NAME", name);
}

// An entry of a member that another program wrote in a form that names no
// member to use.
struct OddEntry {
  std::string m_case;
  std::string m_text;
};

std::vector<OddEntry> OddEntries() {
  const std::string odd = Member("odd");
  const auto with_slots = [&odd](const std::string& slots) {
    return Replace(odd, "\"slots\": 3", "\"slots\": " + slots);
  };
  const auto with_address = [&odd](const std::string& address) {
    return Replace(odd, "10.0.0.9:80", address);
  };
  const auto nested = [](std::size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
  };
  std::string nested_objects;
  for (int i = 0; i < 50000; ++i) {
    nested_objects += "{\"a\":";
  }
  nested_objects += "1" + std::string(50000, '}');
  return {
      {"deep lists in a field", with_slots(nested(400000, '[', ']'))},
      {"deep objects in a field", with_slots(nested_objects)},
      {"deep lists in an unknown field",
       Replace(odd, "\"slots\"",
               "\"more\": " + nested(400000, '[', ']') + ", \"slots\"")},
      {"a number beyond a double", with_slots("1e999")},
      {"a number beyond an integer", with_slots("1e30")},
      {"a number beyond 64 bits", with_slots("99999999999999999999")},
      {"a number beyond 32 bits", with_slots("4294967299")},
      {"a negative number", with_slots("-3")},
      {"no slots at all", with_slots("0")},
      {"a fraction", with_slots("2.5")},
      {"a start beyond 64 bits",
       Replace(odd, "1700", "99999999999999999999999")},
      {"a start that is a fraction", Replace(odd, "1700", "1.5")},
      {"a port out of range", with_address("10.0.0.9:65536")},
      {"a port far out of range", with_address("10.0.0.9:99999999999999")},
      {"port 0", with_address("10.0.0.9:0")},
      {"a negative port", with_address("10.0.0.9:-80")},
      {"no port", with_address("10.0.0.9")},
      {"a host name", with_address("members.example:80")},
      {"no address", with_address("")},
      {"bytes that are not UTF-8", Replace(odd, "north", "n\xff\xfe")},
      {"a control byte", Replace(odd, "north", std::string("n\x01", 2))},
      {"a lone surrogate", Replace(odd, "north", "\\ud800")},
      {"two values for one field",
       Replace(odd, "\"slots\"", "\"slots\": 2, \"slots\"")},
      {"no value", R"({"meta": {"name": "odd", "revision": 12}})"},
      {"a value of another type",
       R"({"meta": {"name": "odd", "revision": 12}, "spec": [[[]]]})"},
  };
}

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(ListSurvivesOddEntries);
  CPPUNIT_TEST(WatchSurvivesOddEntries);
  CPPUNIT_TEST(MalformedBodiesAreErrors);
  CPPUNIT_TEST(RevisionsCarryTheEpochOfTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  static Result<gateway::StorePage, gateway::StoreError> List(
      const std::string& body,
      const std::string& headers = "") {
    asio::io_context io(1);
    CannedStore store(io, body, headers);
    StoreClient client(io, store.endpoint());
    std::optional<Result<gateway::StorePage, gateway::StoreError>> result;
    client.List(StoreKind::kMembers, "", ListConsistency::kCurrent,
                [&](const auto& page) {
                  result = page;
                  io.stop();
                });
    io.run_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  static Result<gateway::StoreChanges, gateway::StoreError> Watch(
      const std::string& body) {
    asio::io_context io(1);
    CannedStore store(io, body);
    StoreClient client(io, store.endpoint());
    std::optional<Result<gateway::StoreChanges, gateway::StoreError>> result;
    client.Watch(StoreKind::kMembers, gateway::Revision(3), 1s,
                 [&](const auto& changes) {
                   result = changes;
                   io.stop();
                 });
    io.run_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  static void CheckObjects(const std::string& name,
                           const std::vector<gateway::StoreObject>& objects) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{3}, objects.size());
    for (const std::size_t good : {std::size_t{0}, std::size_t{2}}) {
      CPPUNIT_ASSERT_MESSAGE(
          name, std::holds_alternative<gateway::Member>(objects[good].m_value));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("odd"), objects[1].m_name);
    CPPUNIT_ASSERT_MESSAGE(name,
                           gateway::Revision(12) == objects[1].m_revision);
    CPPUNIT_ASSERT_MESSAGE(
        name,
        std::holds_alternative<gateway::UnreadableObject>(objects[1].m_value));
  }

  // One odd entry must neither end the process nor hide the other entries of
  // the same response.
  void ListSurvivesOddEntries() {
    for (const OddEntry& odd : OddEntries()) {
      const auto result =
          List("{\"items\": [" + Member("a") + ", " + odd.m_text + ", " +
               Member("b") + "], \"more\": false, \"current-rev\": 14}");
      CPPUNIT_ASSERT_MESSAGE(odd.m_case, IsOk(result));
      CPPUNIT_ASSERT(gateway::Revision(14) == GetValue(result).m_revision);
      CheckObjects(odd.m_case, GetValue(result).m_objects);
    }
  }

  void WatchSurvivesOddEntries() {
    const auto event = [](const std::string& object) {
      return "{\"object\": " + object + ", \"removed\": false}";
    };
    for (const OddEntry& odd : OddEntries()) {
      const auto result = Watch("{\"events\": [" + event(Member("a")) + ", " +
                                event(odd.m_text) + ", " + event(Member("b")) +
                                "], \"current-rev\": 14}");
      CPPUNIT_ASSERT_MESSAGE(odd.m_case, IsOk(result));
      std::vector<gateway::StoreObject> objects;
      for (const auto& change : GetValue(result).m_changes) {
        CPPUNIT_ASSERT(!change.m_removed);
        objects.push_back(change.m_object);
      }
      CheckObjects(odd.m_case, objects);
    }
  }

  void MalformedBodiesAreErrors() {
    const std::vector<std::string> bodies = {
        "",
        "7",
        "[]",
        "{}",
        "{\"items\": 3}",
        "{\"items\": [}",
        "{\"items\": [1",
        "{\"items\": [\"",
        "{\"items\": [{\"a\": ]}]}",
        "{\"items\": []",
        "{\"items\": []}}",
        "{\"items\" []}",
        std::string(1000000, '['),
        std::string(1000000, '{'),
    };
    for (const std::string& body : bodies) {
      CPPUNIT_ASSERT_MESSAGE(body.substr(0, 40), !IsOk(List(body)));
      CPPUNIT_ASSERT_MESSAGE(body.substr(0, 40), !IsOk(Watch(body)));
    }
  }

  void RevisionsCarryTheEpochOfTheStore() {
    struct Case {
      std::string m_headers;
      std::uint64_t m_epoch;
    };
    const std::vector<Case> cases = {{"", 0},
                                     {"Store-Era: 3\r\n", 3},
                                     {"Date: x\r\nstore-era: 12\r\n", 12},
                                     {"Store-Era: odd\r\n", 0}};
    for (const Case& row : cases) {
      const gateway::StoreEpoch epoch(row.m_epoch);
      const auto result = List("{\"items\": [" + Member("a") +
                                   "], \"more\": false, \"current-rev\": 14}",
                               row.m_headers);
      CPPUNIT_ASSERT_MESSAGE(row.m_headers, IsOk(result));
      const gateway::StorePage& page = GetValue(result);
      CPPUNIT_ASSERT(gateway::Revision(epoch, 14) == page.m_revision);
      CPPUNIT_ASSERT(gateway::Revision(epoch, 12) ==
                     page.m_objects.at(0).m_revision);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

}  // namespace
}  // namespace jasminelug::adapter
