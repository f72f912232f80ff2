#ifndef TEST_FAKE_DATABASE_PULLER_H_
#define TEST_FAKE_DATABASE_PULLER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

#include "jasminelug/databases.h"
#include "test/fake_database/numbers.h"
#include "test/fake_database/pull.h"

namespace jasminelug::fake_database {

// The database name of a replica's connection; such connections are not
// counted.
inline constexpr char kReplicationDatabase[] = "replication";

// Pulls entries from one primary, again and again, until stopped. A
// connection that fails or falls silent is replaced.
class Puller : public std::enable_shared_from_this<Puller> {
 public:
  using Time = std::chrono::steady_clock::time_point;
  // Returns what to ask for next.
  using RequestHook = std::function<PullRequest()>;
  // Takes an answer and the time at which its request was sent.
  using AnswerHook = std::function<void(const PullAnswer&, Time sent)>;

  Puller(asio::io_context& io,
         const Address& primary,
         RequestHook request_hook,
         AnswerHook answer_hook);

  void Start();

  // No hook is called from now on.
  void Stop();

 private:
  void Connect();
  void PullNext();
  void OnOutcome(const databases::StatementOutcome& outcome, Time sent);
  void RetryLater();

  asio::io_context& m_io;
  databases::Endpoint m_endpoint;
  RequestHook m_request_hook;
  AnswerHook m_answer_hook;
  asio::steady_timer m_timer;
  std::shared_ptr<databases::Connection> m_connection;
  bool m_stopped = false;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_PULLER_H_
