#include "apps/jasminelugd/database_duty.h"

#include <charconv>
#include <utility>

#include "apps/jasminelugd/conversions.h"

namespace jasminelug::daemon {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::chrono::milliseconds kControlTimeout{400};

// Time limit of one statement. If it is exceeded, the connection is closed and
// counts as lost.
constexpr std::chrono::seconds kStatementTimeout{30};

databases::Endpoint EndpointOf(const core::OpenConnection& command,
                               const std::string& user) {
  databases::Endpoint endpoint;
  const std::string& address = command.m_member.m_address.str();
  const std::size_t colon = address.rfind(':');
  endpoint.m_host = address.substr(0, colon);
  if (colon != std::string::npos) {
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    endpoint.m_port);
  }
  endpoint.m_database = command.m_database.str();
  endpoint.m_user = user;
  return endpoint;
}

// Returns the statement that records the request's id. The statement fails if
// the id is already recorded.
databases::Statement RecordRequest(const core::RunStatement& command) {
  return {"INSERT INTO jasminelug_requests (request_id) VALUES ($1)",
          {command.m_customer.str() + "/" + command.m_request_id.str()}};
}

template <typename T>
core::ControlAnswer ToAnswer(const Result<T, databases::Error>& result) {
  if (!IsOk(result)) {
    const databases::Error& error = GetError(result);
    const bool is_lost =
        error.m_kind == databases::ErrorKind::kConnectionLost ||
        error.m_kind == databases::ErrorKind::kConnectFailed;
    // A member that answers with an error is reachable but refused the call.
    return is_lost ? core::ControlAnswer(core::ControlFailed{error.m_refused})
                   : core::ControlAnswer(core::ControlDone{false});
  }
  if constexpr (std::is_same_v<T, databases::MemberStatus> ||
                std::is_same_v<T, databases::GrantAnswer>) {
    return ToCore(GetValue(result));
  } else {
    return core::ControlDone{true};
  }
}

}  // namespace

DatabaseDuty::~DatabaseDuty() {
  m_thread.Join();
  for (const auto& [id, connection] : m_connections) {
    if (connection != nullptr) {
      connection->SetClosedHook({});
      connection->Close();
    }
  }
}

void DatabaseDuty::Execute(const DatabaseCommand& command) {
  std::visit([this](const auto& kind) { Execute(kind); }, command);
}

void DatabaseDuty::Execute(const core::OpenConnection& command) {
  m_connections.emplace(command.m_connection, nullptr);
  databases::Connection::Connect(
      m_thread.io(), EndpointOf(command, m_user), kConnectTimeout,
      [this,
       id = command.m_connection](const databases::ConnectOutcome& outcome) {
        OnConnected(id, outcome);
      });
}

void DatabaseDuty::OnConnected(core::ConnectionId id,
                               const databases::ConnectOutcome& outcome) {
  const auto found = m_connections.find(id);
  if (!IsOk(outcome)) {
    const databases::Error& error = GetError(outcome);
    if (found != m_connections.end()) {
      m_connections.erase(found);
      const bool is_full = error.m_sqlstate == databases::kTooManyConnections;
      m_events->Push(core::ConnectionClosed{id, error.m_refused, is_full});
    }
    return;
  }
  const ConnectionPtr& connection = GetValue(outcome);
  if (found == m_connections.end()) {
    // The connection was given up by CloseConnection while it was being opened.
    connection->Close();
    return;
  }
  found->second = connection;
  connection->SetClosedHook([this, id] { OnClosed(id); });
  m_events->Push(core::ConnectionOpened{id});
}

void DatabaseDuty::OnClosed(core::ConnectionId id) {
  if (m_connections.erase(id) > 0) {
    m_events->Push(core::ConnectionClosed{id, false, false});
  }
}

void DatabaseDuty::Execute(const core::CloseConnection& command) {
  const auto found = m_connections.find(command.m_connection);
  if (found == m_connections.end()) {
    return;
  }
  const ConnectionPtr connection = found->second;
  if (connection != nullptr) {
    connection->Close();
    return;
  }
  m_connections.erase(found);
  m_events->Push(core::ConnectionClosed{command.m_connection, false, false});
}

void DatabaseDuty::Execute(const core::RunStatement& command) {
  const auto found = m_connections.find(command.m_connection);
  if (found == m_connections.end() || found->second == nullptr) {
    Report(command.m_connection, core::StatementLost{false});
    return;
  }
  const ConnectionPtr connection = found->second;
  const core::ConnectionId id = command.m_connection;
  const auto report = [this, id](const databases::StatementOutcome& outcome) {
    Report(id, ToCore(outcome));
  };
  switch (command.m_step) {
    case core::TransactionStep::kAutocommit:
      RunAutocommit(connection, command);
      return;
    case core::TransactionStep::kBegin:
      connection->Begin(kStatementTimeout, report);
      return;
    case core::TransactionStep::kInTransaction:
      connection->Run(FromCore(command.m_statement), kStatementTimeout, report);
      return;
    case core::TransactionStep::kCommit:
      RunCommit(connection, command);
      return;
    case core::TransactionStep::kRollback:
      connection->Rollback(kStatementTimeout, report);
      return;
  }
}

void DatabaseDuty::RunAutocommit(const ConnectionPtr& connection,
                                 const core::RunStatement& command) {
  const core::ConnectionId id = command.m_connection;
  if (command.m_request_id.empty()) {
    connection->Run(FromCore(command.m_statement), kStatementTimeout,
                    [this, id](const databases::StatementOutcome& outcome) {
                      Report(id, ToCore(outcome));
                    });
    return;
  }
  databases::Batch batch;
  batch.m_statements.push_back(RecordRequest(command));
  if (!command.m_statement.m_sql.empty()) {
    batch.m_statements.push_back(FromCore(command.m_statement));
  }
  connection->RunBatch(batch, kStatementTimeout,
                       [this, id](const databases::BatchOutcome& outcome) {
                         Report(id, ToCore(outcome));
                       });
}

void DatabaseDuty::RunCommit(const ConnectionPtr& connection,
                             const core::RunStatement& command) {
  const core::ConnectionId id = command.m_connection;
  const auto commit = [this, connection, id] {
    connection->Commit(kStatementTimeout,
                       [this, id](const databases::StatementOutcome& outcome) {
                         Report(id, ToCore(outcome));
                       });
  };
  if (command.m_request_id.empty()) {
    commit();
    return;
  }
  connection->Run(
      RecordRequest(command), kStatementTimeout,
      [this, id, commit](const databases::StatementOutcome& outcome) {
        if (IsOk(outcome)) {
          commit();
          return;
        }
        core::StatementOutcome failed = ToCore(outcome);
        if (std::holds_alternative<core::StatementLost>(failed)) {
          // The commit was not sent, so the transaction did not take effect.
          failed = core::StatementLost{false};
        }
        Report(id, std::move(failed));
      });
}

void DatabaseDuty::Report(core::ConnectionId id,
                          core::StatementOutcome outcome) {
  m_events->Push(core::StatementFinished{id, std::move(outcome)});
}

void DatabaseDuty::Execute(const core::CallMember& command) {
  const auto found = m_connections.find(command.m_connection);
  if (found == m_connections.end() || found->second == nullptr) {
    m_events->Push(
        core::ControlAnswered{command.m_call, core::ControlFailed{}});
    return;
  }
  const databases::Member member(found->second);
  const auto answer = [this, call = command.m_call](const auto& result) {
    m_events->Push(core::ControlAnswered{call, ToAnswer(result)});
  };
  if (std::holds_alternative<core::StatusRequest>(command.m_request)) {
    member.Status(kControlTimeout, answer);
  } else if (const auto* grant =
                 std::get_if<core::GrantRequest>(&command.m_request)) {
    member.Grant(grant->m_term.value(), grant->m_candidate.str(),
                 kControlTimeout, answer);
  } else if (const auto* promotion =
                 std::get_if<core::PromotionRequest>(&command.m_request)) {
    member.Promote(promotion->m_term.value(), kControlTimeout, answer);
  } else {
    const auto& follow = std::get<core::FollowRequest>(command.m_request);
    member.Follow(follow.m_term.value(), follow.m_primary.str(),
                  kControlTimeout, answer);
  }
}

}  // namespace jasminelug::daemon
