// Fake platform for tests on one machine: serves the metadata store with the
// promotion call, and one database group of three members that speak the line
// protocol. Reads commands from standard input, one a line; see
// HandleCommand().

#include <unistd.h>
#include <asio/io_context.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <istream>
#include <iterator>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "test/fake_line_platform/fake_database_group.h"
#include "test/fake_line_platform/fake_member.h"
#include "test/fake_line_platform/fake_store.h"
#include "test/fake_line_platform/object_store.h"

namespace jasminelug::fake_line_platform {
namespace {

using nlohmann::json;

constexpr char kGroup[] = "beds-group";
// How long after the store's return the members and the operator write their
// entries again.
constexpr std::chrono::milliseconds kRewriteDelay(500);

class Platform {
 public:
  explicit Platform(asio::io_context& io)
      : m_group({"m1", "m2", "m3"}),
        m_store(io,
                {asio::ip::address_v4::loopback(), 0},
                [this](const std::string& member) { return Promote(member); }),
        m_timer(io),
        m_input(io, ::dup(STDIN_FILENO)) {
    for (const char* id : {"m1", "m2", "m3"}) {
      m_members.push_back(
          std::make_unique<FakeMember>(io, kGroup, id, m_group));
    }
    PublishMembers();
    WriteConfiguration({"key-1", "key-2"});
    ReadCommand();
    std::cout << json({{"port", m_store.port()}}).dump() << std::endl;
  }

 private:
  bool Promote(const std::string& member) {
    const bool done = m_group.Promote(member);
    PublishMembers();
    return done;
  }

  // Writes the entries of the running members to the store.
  void PublishMembers() {
    for (const std::unique_ptr<FakeMember>& member : m_members) {
      if (!m_group.At(member->id()).m_running) {
        continue;
      }
      const std::string address = "127.0.0.1:" + std::to_string(member->port());
      m_store.Put(
          "servers", member->id(),
          {{"service", kGroup},
           {"address", address},
           {"zone", "zone-" + member->id()},
           {"version", "v1"},
           {"slots", 3},
           {"state", "ready"},
           {"cold-left-ms", 0},
           {"db-role", m_group.IsPrimary(member->id()) ? "primary" : "replica"},
           {"seq-num", 1},
           {"born", 1700}});
    }
  }

  void WriteConfiguration(const std::vector<std::string>& keys) {
    m_version += 1;
    const json route = {{"name", "r"},
                        {"host", "beds"},
                        {"path-prefix", "/"},
                        {"route-type", "read_your_writes"},
                        {"timeout-ms", 1000},
                        {"latency-slo-ms", 400},
                        {"priority", 1},
                        {"service", kGroup},
                        {"max-staleness-ms", 1500},
                        {"public", false}};
    const json group = {
        {"name", kGroup}, {"max-conns", 21}, {"sync-replicas", 0}};
    const json tenant = {{"name", "shelters"},
                         {"api-keys", keys},
                         {"priority", 1},
                         {"rate-per-s", 200},
                         {"burst", 200}};
    const json other_tenant = {{"name", "kiosks"},
                               {"api-keys", json::array({"key-kiosks"})},
                               {"priority", 1},
                               {"rate-per-s", 200},
                               {"burst", 200}};
    m_configuration = {{"version", m_version},
                       {"routes", json::array({route})},
                       {"services", json::array({group})},
                       {"limits", {{"tx-idle-ms", 3000}}},
                       {"tenants", json::array({tenant, other_tenant})}};
    m_store.Put("config", "main", m_configuration);
  }

  void ReadCommand() {
    asio::async_read_until(m_input, m_commands, '\n',
                           [this](std::error_code error, std::size_t) {
                             if (error) {
                               return;
                             }
                             std::istream stream(&m_commands);
                             std::string command;
                             std::getline(stream, command);
                             HandleCommand(command);
                             ReadCommand();
                           });
  }

  // Executes one command. "withdraw" removes key-1 from the configuration,
  // "keys KEY..." writes a configuration with just these keys, "crash ID"
  // crashes a member, and "start ID" starts it again. "snapshot" copies the
  // contents of the store, and "restore MS" takes the store away for so many
  // milliseconds and brings it back with that copy. Prints the command when it
  // is done.
  void HandleCommand(const std::string& command) {
    std::istringstream words(command);
    std::string verb;
    words >> verb;
    if (verb == "restore") {
      Restore(command, &words);
      return;
    }
    if (verb == "withdraw") {
      WriteConfiguration({"key-2"});
    } else if (verb == "keys") {
      WriteConfiguration({std::istream_iterator<std::string>(words), {}});
    } else if (verb == "snapshot") {
      m_snapshot = m_store.TakeSnapshot();
    } else {
      HandleMemberCommand(command);
    }
    Report("done", command);
  }

  void HandleMemberCommand(const std::string& command) {
    for (const std::unique_ptr<FakeMember>& member : m_members) {
      if (command == "crash " + member->id()) {
        member->Crash();
      } else if (command == "start " + member->id()) {
        member->Start();
        PublishMembers();
      }
    }
  }

  // Executes "restore MS". It is done when the store has returned; what was
  // newer than the snapshot is written again soon after. Fails without a
  // snapshot, and while the store is away already.
  void Restore(const std::string& command, std::istringstream* arguments) {
    std::int64_t away_ms = 0;
    const bool readable = *arguments >> away_ms && away_ms >= 0;
    if (!readable || !m_snapshot || m_store.is_away()) {
      Report("failed", command);
      return;
    }
    m_store.Leave();
    After(std::chrono::milliseconds(away_ms), [this, command] {
      m_store.Return(*m_snapshot);
      Report("done", command);
      After(kRewriteDelay, [this] { WriteAgain(); });
    });
  }

  // Writes the current entries of the members and the current configuration.
  // Those that the store still has stay unchanged.
  void WriteAgain() {
    PublishMembers();
    m_store.Put("config", "main", m_configuration);
  }

  void After(std::chrono::milliseconds delay, std::function<void()> action) {
    m_timer.expires_after(delay);
    m_timer.async_wait([action = std::move(action)](std::error_code error) {
      if (!error) {
        action();
      }
    });
  }

  static void Report(const char* outcome, const std::string& command) {
    std::cout << json({{outcome, command}}).dump() << std::endl;
  }

  FakeDatabaseGroup m_group;
  FakeStore m_store;
  std::vector<std::unique_ptr<FakeMember>> m_members;
  asio::steady_timer m_timer;
  asio::posix::stream_descriptor m_input;
  asio::streambuf m_commands;
  int m_version = 0;
  json m_configuration;
  std::optional<ObjectStore::Snapshot> m_snapshot;
};

}  // namespace
}  // namespace jasminelug::fake_line_platform

int main() {
  asio::io_context io(1);
  const jasminelug::fake_line_platform::Platform platform(io);
  io.run();
  return 0;
}
