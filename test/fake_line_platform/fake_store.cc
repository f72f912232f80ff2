#include "test/fake_line_platform/fake_store.h"

#include <chrono>
#include <optional>
#include <utility>

namespace jasminelug::fake_line_platform {
namespace {

using nlohmann::json;

constexpr char kObjectsPath[] = "/-/objects/";

// Returns the value of a query parameter, or nullopt if it is missing.
std::optional<std::string> Parameter(const std::string& target,
                                     const std::string& name) {
  const std::size_t question = target.find('?');
  if (question == std::string::npos) {
    return std::nullopt;
  }
  const std::string query = "&" + target.substr(question + 1);
  const std::size_t begin = query.find("&" + name + "=");
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t value = begin + name.size() + 2;
  return query.substr(value, query.find('&', value) - value);
}

std::uint64_t Number(const std::optional<std::string>& text) {
  return text ? std::stoull(*text) : 0;
}

}  // namespace

FakeStore::FakeStore(asio::io_context& io,
                     const asio::ip::tcp::endpoint& endpoint,
                     PromoteHook promote)
    : m_io(io),
      m_acceptor(io),
      m_endpoint(endpoint),
      m_promote(std::move(promote)) {
  Listen();
}

void FakeStore::Listen() {
  m_acceptor.open(m_endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(m_endpoint);
  m_acceptor.listen();
  m_endpoint = m_acceptor.local_endpoint();
  Accept();
}

void FakeStore::Accept() {
  m_acceptor.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        // A connection that was accepted just before Leave() is dropped. The
        // next Listen() accepts again.
        if (error || !m_acceptor.is_open()) {
          return;
        }
        StartSession(std::move(socket));
        Accept();
      });
}

void FakeStore::StartSession(asio::ip::tcp::socket socket) {
  const auto session = std::make_shared<HttpSession>(
      std::move(socket),
      [this](const std::shared_ptr<HttpSession>& from,
             const std::string& method, const std::string& target,
             const std::string& body) {
        OnRequest(from, method, target, body);
      });
  std::erase_if(m_sessions, [](const std::weak_ptr<HttpSession>& known) {
    return known.expired();
  });
  m_sessions.push_back(session);
  session->Start();
}

void FakeStore::Leave() {
  std::error_code ignored;  // The acceptor is closed even on an error.
  m_acceptor.close(ignored);
  m_watches.clear();
  for (const std::weak_ptr<HttpSession>& known : m_sessions) {
    if (const std::shared_ptr<HttpSession> session = known.lock()) {
      session->Close();
    }
  }
  m_sessions.clear();
}

void FakeStore::Return(const ObjectStore::Snapshot& snapshot) {
  m_store.Restore(snapshot);
  Listen();
}

void FakeStore::Respond(const std::shared_ptr<HttpSession>& session,
                        int status,
                        const std::string& body) {
  session->Respond(status, m_store.era(), body);
}

void FakeStore::Put(const std::string& kind,
                    const std::string& name,
                    const json& spec) {
  const json object = {{"meta", {{"name", name}}}, {"spec", spec}};
  if (m_store.Create(kind, object).m_status == 409) {
    m_store.Replace(kind, name, object);
  }
  RespondToReadyWatches();
}

void FakeStore::Remove(const std::string& kind, const std::string& name) {
  m_store.Remove(kind, name, std::nullopt);
  RespondToReadyWatches();
}

void FakeStore::OnRequest(const std::shared_ptr<HttpSession>& session,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (target == "/promote" && parsed.is_object()) {
    const bool done = m_promote(parsed.value("id", ""));
    Respond(session, done ? 200 : 409, "{}");
    return;
  }
  if (target.rfind(kObjectsPath, 0) != 0) {
    Respond(session, 404, "{}");
    return;
  }
  OnObjectRequest(session, method, target, parsed);
}

void FakeStore::OnObjectRequest(const std::shared_ptr<HttpSession>& session,
                                const std::string& method,
                                const std::string& target,
                                const json& body) {
  const std::string path = target.substr(0, target.find('?'))
                               .substr(std::string(kObjectsPath).size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  const std::optional<std::string> watch = Parameter(target, "watch");
  if (watch) {
    AddWatch(session, kind, Number(watch),
             Number(Parameter(target, "wait-ms")));
    return;
  }
  ObjectStore::Response response;
  if (method == "GET" && name.empty()) {
    response = m_store.List(kind, Parameter(target, "after").value_or(""));
  } else if (method == "GET") {
    response = m_store.Get(kind, name);
  } else if (method == "POST") {
    response = m_store.Create(kind, body);
  } else if (method == "PUT") {
    response = m_store.Replace(kind, name, body);
  } else {
    const std::optional<std::string> revision = Parameter(target, "revision");
    response =
        m_store.Remove(kind, name,
                       revision ? std::optional<std::uint64_t>(Number(revision))
                                : std::nullopt);
  }
  Respond(session, response.m_status, response.m_body.dump());
  RespondToReadyWatches();
}

void FakeStore::AddWatch(const std::shared_ptr<HttpSession>& session,
                         const std::string& kind,
                         std::uint64_t since,
                         std::uint64_t wait_ms) {
  auto timer = std::make_unique<asio::steady_timer>(
      m_io, std::chrono::milliseconds(wait_ms));
  const std::uint64_t id = ++m_last_watch;
  timer->async_wait([this, id](std::error_code error) {
    if (!error) {
      OnWatchTimeout(id);
    }
  });
  m_watches.emplace(id, Watch{session, kind, since, std::move(timer)});
  RespondToReadyWatches();
}

void FakeStore::OnWatchTimeout(std::uint64_t id) {
  const auto watch = m_watches.find(id);
  // The timeout may be on its way already when the watch ends otherwise.
  if (watch == m_watches.end()) {
    return;
  }
  RespondTo(watch->second);
  m_watches.erase(watch);
}

void FakeStore::RespondTo(const Watch& watch) {
  const auto events = m_store.ChangesSince(watch.m_kind, watch.m_since);
  if (!events) {
    Respond(watch.m_session, 410, "{}");
    return;
  }
  const json body = {{"events", *events}, {"current-rev", m_store.revision()}};
  Respond(watch.m_session, 200, body.dump());
}

void FakeStore::RespondToReadyWatches() {
  for (auto watch = m_watches.begin(); watch != m_watches.end();) {
    const auto events =
        m_store.ChangesSince(watch->second.m_kind, watch->second.m_since);
    if (events && events->empty()) {
      ++watch;
      continue;
    }
    RespondTo(watch->second);
    watch = m_watches.erase(watch);
  }
}

}  // namespace jasminelug::fake_line_platform
