#ifndef APPS_JASMINELUGD_DATABASE_DUTY_H_
#define APPS_JASMINELUGD_DATABASE_DUTY_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include "apps/jasminelugd/duty.h"
#include "jasminelug/core.h"
#include "jasminelug/databases.h"

namespace jasminelug::daemon {

// A command from the decision duty to the database duty. The empty alternative
// makes the type default constructible, as Channel requires; it has no effect.
using DatabaseCommand = std::variant<std::monostate,
                                     core::OpenConnection,
                                     core::CloseConnection,
                                     core::RunStatement,
                                     core::CallMember>;

// Owns the connections to the database members and runs the statements and
// administrative calls on them, on a thread of its own.
class DatabaseDuty {
 public:
  DatabaseDuty(std::string user, Channel<core::Event>* events)
      : m_user(std::move(user)), m_events(events) {}
  ~DatabaseDuty();

  DutyThread& thread() { return m_thread; }

  // Executes a command. Must be called on this duty's thread.
  void Execute(const DatabaseCommand& command);

 private:
  using ConnectionPtr = std::shared_ptr<databases::Connection>;

  void Execute(const std::monostate& /*command*/) {}
  void Execute(const core::OpenConnection& command);
  void Execute(const core::CloseConnection& command);
  void Execute(const core::RunStatement& command);
  void Execute(const core::CallMember& command);
  void OnConnected(core::ConnectionId id,
                   const databases::ConnectOutcome& outcome);
  void OnClosed(core::ConnectionId id);
  void RunAutocommit(const ConnectionPtr& connection,
                     const core::RunStatement& command);
  void RunCommit(const ConnectionPtr& connection,
                 const core::RunStatement& command);
  void Report(core::ConnectionId id, core::StatementOutcome outcome);

  DutyThread m_thread;
  std::string m_user;
  Channel<core::Event>* m_events;
  // All connections by id; nullptr for one that is still being opened.
  std::unordered_map<core::ConnectionId, ConnectionPtr> m_connections;
};

}  // namespace jasminelug::daemon

#endif  // APPS_JASMINELUGD_DATABASE_DUTY_H_
