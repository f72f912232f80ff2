#ifndef SRC_DATABASES_CONNECTION_H_
#define SRC_DATABASES_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/common/result.h"
#include "src/databases/endpoint.h"
#include "src/databases/error.h"
#include "src/databases/group_report.h"
#include "src/databases/result.h"
#include "src/databases/statement.h"

struct pg_conn;
struct pg_result;

namespace jasminelug::databases {

class Connection;

using ConnectOutcome = Result<std::shared_ptr<Connection>, Error>;

// One non-blocking connection to one member through libpq. It runs one call at
// a time and keeps itself alive while it is open, so its owner must Close() it.
// All methods must be called on the thread of the io_context, which must
// outlive the connection. Hooks are called on this thread, never from within
// the method that takes them.
//
// A connection closes itself if an answer was lost, a call timed out or
// unexpected data is left unread. It is then not reused: see IsReusable().
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Timeout = std::chrono::milliseconds;
  using ConnectHook = std::function<void(const ConnectOutcome&)>;
  using StatementHook = std::function<void(const StatementOutcome&)>;
  using BatchHook = std::function<void(const BatchOutcome&)>;
  using ClosedHook = std::function<void()>;

  // Connects to `endpoint` and calls `hook` once with the open connection or
  // with a kConnectFailed error.
  static void Connect(asio::io_context& io,
                      const Endpoint& endpoint,
                      Timeout timeout,
                      ConnectHook hook);

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  // Runs one statement, in the open transaction if there is one. The
  // connection must be idle.
  void Run(const Statement& statement, Timeout timeout, StatementHook hook);

  // Runs the statements as one transaction in a single round trip. The
  // connection must be reusable. An error means that no statement took effect,
  // unless it is kConnectionLost with m_after_send set.
  void RunBatch(const Batch& batch, Timeout timeout, BatchHook hook);

  void Begin(Timeout timeout, StatementHook hook);

  // Commits the open transaction. Returns kRejected if the member answers that
  // it rolled back the transaction because a statement in it had failed.
  void Commit(Timeout timeout, StatementHook hook);

  void Rollback(Timeout timeout, StatementHook hook);

  // Closes the connection at once. A running call ends with kConnectionLost
  // and m_after_send set; the member rolls back an open transaction. Does
  // nothing on a closed connection.
  void Close();

  // Sets the hook that is called once when the connection closes, after the
  // hook of a running call.
  void SetClosedHook(ClosedHook hook);

  bool IsOpen() const { return m_state != State::kClosed; }

  // Returns whether the connection may go back to a pool: open, with no call
  // running, nothing unread and no transaction open.
  bool IsReusable() const;

  // Returns the term, position and role that the member reported last.
  GroupReport Report() const;

 private:
  enum class State { kConnecting, kIdle, kRunning, kClosed };

  // State of the running call.
  struct Call {
    bool m_pipelined = false;
    bool m_commit = false;
    BatchHook m_hook;
    std::vector<StatementResult> m_results;
    std::optional<Error> m_error;
  };

  explicit Connection(asio::io_context& io);

  void StartConnect(const Endpoint& endpoint, Timeout timeout);
  void PollConnect();
  void WaitForConnect(asio::posix::stream_descriptor::wait_type wait);
  void OnConnected();
  void FailConnect(const Error& error);

  void RunSingle(const Statement& statement,
                 Timeout timeout,
                 bool commit,
                 StatementHook hook);
  void StartCall(Timeout timeout, bool pipelined, bool commit, BatchHook hook);
  bool Send(const Statement& statement);
  void HandleSendFailure();
  void Flush();
  void StartReading();
  void OnReadable();
  void CollectResults();
  bool TakeResult(pg_result* raw);
  void FinishCall();
  BatchOutcome OutcomeOf(const Call& call) const;
  void HandleConnectionLoss(const std::string& message, bool after_send);
  void StartTimer(Timeout timeout);
  void AttachSocket();
  void ReleaseSocket();

  State m_state = State::kConnecting;
  pg_conn* m_pg = nullptr;
  asio::posix::stream_descriptor m_socket;
  asio::steady_timer m_timer;
  ConnectHook m_connect_hook;
  ClosedHook m_closed_hook;
  std::optional<Call> m_call;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_CONNECTION_H_
