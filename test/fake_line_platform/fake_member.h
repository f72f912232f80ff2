#ifndef TEST_FAKE_LINE_PLATFORM_FAKE_MEMBER_H_
#define TEST_FAKE_LINE_PLATFORM_FAKE_MEMBER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "platform/line_channel.h"
#include "test/fake_line_platform/fake_database_group.h"

namespace jasminelug::fake_line_platform {

// Simulates a member of a database group that speaks the line protocol.
class FakeMember {
 public:
  FakeMember(asio::io_context& io,
             std::string group_name,
             std::string id,
             FakeDatabaseGroup& group);

  // Closes all connections and refuses new ones until Start().
  void Crash();
  void Start();

  const std::string& id() const { return m_id; }
  std::uint16_t port() const { return m_port; }

 private:
  struct Session {
    std::shared_ptr<adapter::LineChannel> m_channel;
    bool m_started = false;
    bool m_in_transaction = false;
    bool m_read_only = false;
    std::map<std::string, std::string> m_writes;
    std::map<std::string, bool> m_prepared_writes;
  };

  void Listen();
  void Accept();
  void OnLine(Session* session, const std::string& line);
  void OnStart(Session* session, const std::string& line);
  // Returns the lines of the answer without the READY line.
  std::string Run(Session* session, const std::string& text);
  std::string RunData(Session* session, std::string text);
  std::string Read(Session* session, const std::string& item);
  std::string Write(Session* session,
                    const std::string& item,
                    const std::string& value);
  std::string Position();
  // Returns the line that completes a read, write or commit. Each has a
  // signature of its own.
  std::string Signed();

  const std::string m_group_name;
  const std::string m_id;
  FakeDatabaseGroup& m_group;
  asio::ip::tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  std::uint64_t m_signatures = 0;
  std::set<std::shared_ptr<Session>> m_sessions;
};

}  // namespace jasminelug::fake_line_platform

#endif  // TEST_FAKE_LINE_PLATFORM_FAKE_MEMBER_H_
