#ifndef TEST_FAKE_LINE_PLATFORM_FAKE_STORE_H_
#define TEST_FAKE_LINE_PLATFORM_FAKE_STORE_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "test/fake_line_platform/http_session.h"
#include "test/fake_line_platform/object_store.h"

namespace jasminelug::fake_line_platform {

// Serves an ObjectStore, including watches, and the promotion call over HTTP.
// All answers tell the era of the store in the header Store-Era.
class FakeStore {
 public:
  // Promotes a member. Returns false if it is not running.
  using PromoteHook = std::function<bool(const std::string& member)>;

  FakeStore(asio::io_context& io,
            const asio::ip::tcp::endpoint& endpoint,
            PromoteHook promote);

  // Writes or removes an object on behalf of an operator or a member.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

  // Returns the contents as of now, for Return().
  ObjectStore::Snapshot TakeSnapshot() const { return m_store.TakeSnapshot(); }

  // Closes all connections, also those of waiting watches, and refuses new ones
  // until Return().
  void Leave();

  // Serves again, at the same port, from an earlier copy: all that was written
  // since is lost.
  void Return(const ObjectStore::Snapshot& snapshot);

  // Returns whether it is between Leave() and Return().
  bool is_away() const { return !m_acceptor.is_open(); }

  std::uint16_t port() const { return m_endpoint.port(); }

 private:
  struct Watch {
    std::shared_ptr<HttpSession> m_session;
    std::string m_kind;
    std::uint64_t m_since;
    std::unique_ptr<asio::steady_timer> m_timer;
  };

  void Listen();
  void Accept();
  void StartSession(asio::ip::tcp::socket socket);
  void Respond(const std::shared_ptr<HttpSession>& session,
               int status,
               const std::string& body);
  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 const std::string& method,
                 const std::string& target,
                 const std::string& body);
  void OnObjectRequest(const std::shared_ptr<HttpSession>& session,
                       const std::string& method,
                       const std::string& target,
                       const nlohmann::json& body);
  void AddWatch(const std::shared_ptr<HttpSession>& session,
                const std::string& kind,
                std::uint64_t since,
                std::uint64_t wait_ms);
  void OnWatchTimeout(std::uint64_t id);
  // Responds with the changes, or with status 410 if the store does not have
  // the revision from which the client watches.
  void RespondTo(const Watch& watch);
  // Responds to all watches whose kind has changed, or whose revision is gone.
  void RespondToReadyWatches();

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  // With the port that was assigned, if none was asked for.
  asio::ip::tcp::endpoint m_endpoint;
  PromoteHook m_promote;
  ObjectStore m_store;
  std::vector<std::weak_ptr<HttpSession>> m_sessions;
  // Waiting watches, keyed by a number that is not used again.
  std::map<std::uint64_t, Watch> m_watches;
  std::uint64_t m_last_watch = 0;
};

}  // namespace jasminelug::fake_line_platform

#endif  // TEST_FAKE_LINE_PLATFORM_FAKE_STORE_H_
