#include "test/fake_line_platform/fake_member.h"

#include <asio/ip/address_v4.hpp>
#include <sstream>
#include <utility>

namespace jasminelug::fake_line_platform {
namespace {

constexpr char kUnsigned[] = "COMPLETE -\r\n";

std::string TakeWord(std::string* text) {
  const std::size_t blank = text->find(' ');
  std::string word = text->substr(0, blank);
  *text = blank == std::string::npos ? "" : text->substr(blank + 1);
  return word;
}

}  // namespace

FakeMember::FakeMember(asio::io_context& io,
                       std::string group_name,
                       std::string id,
                       FakeDatabaseGroup& group)
    : m_group_name(std::move(group_name)),
      m_id(std::move(id)),
      m_group(group),
      m_acceptor(io) {
  Listen();
}

void FakeMember::Listen() {
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                         m_port);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(endpoint);
  m_acceptor.listen();
  m_port = m_acceptor.local_endpoint().port();
  Accept();
}

void FakeMember::Accept() {
  m_acceptor.async_accept([this](std::error_code error,
                                 asio::ip::tcp::socket socket) {
    if (error) {
      return;
    }
    auto session = std::make_shared<Session>();
    adapter::LineChannel::Hooks hooks;
    Session* raw = session.get();
    hooks.m_line = [this, raw](std::string_view line) {
      OnLine(raw, std::string(line));
    };
    hooks.m_closed = [this, weak = std::weak_ptr<Session>(session)](
                         const std::string&) { m_sessions.erase(weak.lock()); };
    hooks.m_too_long = [raw] { raw->m_channel->Close(); };
    session->m_channel = std::make_shared<adapter::LineChannel>(
        std::move(socket), std::move(hooks));
    m_sessions.insert(session);
    session->m_channel->Start();
    Accept();
  });
}

void FakeMember::Crash() {
  std::error_code ignored;
  m_acceptor.close(ignored);
  for (const std::shared_ptr<Session>& session : m_sessions) {
    session->m_channel->Close();
  }
  m_sessions.clear();
  m_group.SetRunning(m_id, false);
}

void FakeMember::Start() {
  m_group.SetRunning(m_id, true);
  Listen();
}

std::string FakeMember::Position() {
  return std::to_string(m_group.term()) + "." +
         std::to_string(m_group.At(m_id).m_index);
}

void FakeMember::OnLine(Session* session, const std::string& line) {
  if (!session->m_started) {
    OnStart(session, line);
    return;
  }
  std::string text = line;
  const bool is_query = TakeWord(&text) == "QUERY";
  TakeWord(&text);
  const std::string answer =
      is_query ? Run(session, text) : "ERROR MALFORMED -\r\n";
  const std::string state = session->m_in_transaction ? "T" : "I";
  session->m_channel->Send(answer + "READY " + state + " " + Position() +
                           "\r\n");
}

void FakeMember::OnStart(Session* session, const std::string& line) {
  std::string text = line;
  TakeWord(&text);
  const std::string group = TakeWord(&text);
  TakeWord(&text);
  const std::string id = TakeWord(&text);
  if (group != m_group_name || (!id.empty() && id != m_id)) {
    session->m_channel->Send("ERROR WRONGNODE " + m_id + "\r\n");
    session->m_channel->CloseAfterSending();
    return;
  }
  session->m_started = true;
  session->m_channel->Send("READY I " + Position() + "\r\n");
}

std::string FakeMember::Run(Session* session, const std::string& text) {
  std::string rest = text;
  const std::string verb = TakeWord(&rest);
  if (verb == "AFTER") {
    const std::string position = TakeWord(&rest);
    const std::uint64_t index =
        std::stoull(position.substr(position.find('.') + 1));
    return index > m_group.At(m_id).m_index ? "ERROR LAGGING -\r\n"
                                            : Run(session, rest);
  }
  if (verb == "STATUS") {
    const std::string role = m_group.IsPrimary(m_id) ? "primary" : "replica";
    const std::string term = std::to_string(m_group.term());
    return "ROW " + role + " " + term + " " + Position() + " " + term +
           " 0 0 1\r\n" + kUnsigned;
  }
  if (verb == "BEGIN") {
    if (rest != "READ" && !m_group.IsPrimary(m_id)) {
      return "ERROR READONLY " + m_id + "\r\n";
    }
    session->m_in_transaction = true;
    session->m_read_only = rest == "READ";
    return kUnsigned;
  }
  if (verb == "PREPARE") {
    const std::string name = TakeWord(&rest);
    session->m_prepared_writes[name] = TakeWord(&rest) == "WRITE";
    return kUnsigned;
  }
  if (verb == "SET" || verb == "RESET" || verb == "RELEASE") {
    return kUnsigned;
  }
  return RunData(session, text);
}

std::string FakeMember::RunData(Session* session, std::string text) {
  const std::string verb = TakeWord(&text);
  if (verb == "ROLLBACK" || verb == "COMMIT") {
    const auto writes = std::exchange(session->m_writes, {});
    session->m_in_transaction = false;
    if (verb == "ROLLBACK") {
      return kUnsigned;
    }
    if (!writes.empty()) {
      m_group.Commit(writes);
    }
    return Signed();
  }
  bool writes = verb == "WRITE";
  if (verb == "EXECUTE") {
    const std::string name = TakeWord(&text);
    if (!session->m_prepared_writes.contains(name)) {
      return "ERROR NOSTMT " + name + "\r\n";
    }
    writes = session->m_prepared_writes.at(name);
  }
  const std::string item = TakeWord(&text);
  return writes ? Write(session, item, text) : Read(session, item);
}

std::string FakeMember::Read(Session* session, const std::string& item) {
  const auto own = session->m_writes.find(item);
  if (own != session->m_writes.end()) {
    return "ROW " + own->second + "\r\n" + Signed();
  }
  const auto& items = m_group.At(m_id).m_items;
  const auto found = items.find(item);
  const std::string value = found == items.end() ? "none" : found->second;
  return "ROW " + value + "\r\n" + Signed();
}

std::string FakeMember::Write(Session* session,
                              const std::string& item,
                              const std::string& value) {
  if (!m_group.IsPrimary(m_id) || session->m_read_only) {
    return "ERROR READONLY " + m_id + "\r\n";
  }
  if (session->m_in_transaction) {
    session->m_writes[item] = value;
  } else {
    m_group.Commit({{item, value}});
  }
  return Signed();
}

std::string FakeMember::Signed() {
  return "COMPLETE signed." + m_id + "." + std::to_string(++m_signatures) +
         "\r\n";
}

}  // namespace jasminelug::fake_line_platform
