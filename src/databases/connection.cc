#include "src/databases/connection.h"

#include <libpq-fe.h>

#include <asio/post.hpp>

#include <array>
#include <utility>

#include "src/common/assert.h"
#include "src/databases/internal/pg_result.h"

namespace jasminelug::databases {
namespace {

using Wait = asio::posix::stream_descriptor::wait_type;

constexpr char kInFailedTransaction[] = "25P02";

void IgnoreNotice(void* /*context*/, const PGresult* /*notice*/) {}

PGconn* StartPgConnect(const Endpoint& endpoint) {
  const std::string port = std::to_string(endpoint.m_port);
  const std::array<const char*, 10> keywords = {
      "hostaddr", "port",       "dbname",           "user",    "sslmode",
      "password", "gssencmode", "application_name", "options", nullptr};
  const std::array<const char*, 10> values = {endpoint.m_host.c_str(),
                                              port.c_str(),
                                              endpoint.m_database.c_str(),
                                              endpoint.m_user.c_str(),
                                              "disable",
                                              "",
                                              "disable",
                                              "jasminelug",
                                              "",
                                              nullptr};
  return PQconnectStartParams(keywords.data(), values.data(), 0);
}

}  // namespace

Connection::Connection(asio::io_context& io) : m_socket(io), m_timer(io) {}

Connection::~Connection() {
  ReleaseSocket();
  PQfinish(m_pg);
}

void Connection::Connect(asio::io_context& io,
                         const Endpoint& endpoint,
                         Timeout timeout,
                         ConnectHook hook) {
  const std::shared_ptr<Connection> connection(new Connection(io));
  connection->m_connect_hook = std::move(hook);
  asio::post(io, [connection, endpoint, timeout] {
    connection->StartConnect(endpoint, timeout);
  });
}

void Connection::StartConnect(const Endpoint& endpoint, Timeout timeout) {
  m_pg = StartPgConnect(endpoint);
  if (m_pg == nullptr || PQstatus(m_pg) == CONNECTION_BAD) {
    FailConnect(internal::ToConnectError(m_pg));
    return;
  }
  PQsetErrorVerbosity(m_pg, PQERRORS_VERBOSE);
  PQsetNoticeReceiver(m_pg, IgnoreNotice, nullptr);
  StartTimer(timeout);
  WaitForConnect(Wait::wait_write);
}

void Connection::WaitForConnect(Wait wait) {
  // Since the last step libpq may have closed the socket and opened another one
  // with the same descriptor number, so the socket must be registered again.
  AttachSocket();
  m_socket.async_wait(
      wait, [self = shared_from_this()](const asio::error_code& error) {
        if (!error && self->m_state == State::kConnecting) {
          self->PollConnect();
        }
      });
}

void Connection::PollConnect() {
  switch (PQconnectPoll(m_pg)) {
    case PGRES_POLLING_OK:
      OnConnected();
      break;
    case PGRES_POLLING_READING:
      WaitForConnect(Wait::wait_read);
      break;
    case PGRES_POLLING_WRITING:
      WaitForConnect(Wait::wait_write);
      break;
    default:
      FailConnect(internal::ToConnectError(m_pg));
      break;
  }
}

void Connection::OnConnected() {
  m_timer.cancel();
  if (PQsetnonblocking(m_pg, 1) != 0) {
    FailConnect(internal::ToConnectError(m_pg));
    return;
  }
  m_state = State::kIdle;
  AttachSocket();
  StartReading();
  const ConnectHook hook = std::exchange(m_connect_hook, nullptr);
  hook(shared_from_this());
}

void Connection::FailConnect(const Error& error) {
  const ConnectHook hook = std::exchange(m_connect_hook, nullptr);
  Close();
  hook(error);
}

void Connection::Run(const Statement& statement,
                     Timeout timeout,
                     StatementHook hook) {
  RunSingle(statement, timeout, false, std::move(hook));
}

void Connection::Begin(Timeout timeout, StatementHook hook) {
  RunSingle({"BEGIN", {}}, timeout, false, std::move(hook));
}

void Connection::Commit(Timeout timeout, StatementHook hook) {
  RunSingle({"COMMIT", {}}, timeout, true, std::move(hook));
}

void Connection::Rollback(Timeout timeout, StatementHook hook) {
  RunSingle({"ROLLBACK", {}}, timeout, false, std::move(hook));
}

void Connection::RunSingle(const Statement& statement,
                           Timeout timeout,
                           bool commit,
                           StatementHook hook) {
  StartCall(timeout, false, commit,
            [hook = std::move(hook)](const BatchOutcome& outcome) {
              if (const Error* error = std::get_if<Error>(&outcome)) {
                hook(*error);
                return;
              }
              hook(std::get<BatchResult>(outcome).m_results.back());
            });
  if (!IsOpen()) {
    return;
  }
  if (!Send(statement)) {
    HandleSendFailure();
    return;
  }
  Flush();
}

void Connection::RunBatch(const Batch& batch, Timeout timeout, BatchHook hook) {
  JASMINELUG_ASSERT(!batch.m_statements.empty(), BATCH_HAS_STATEMENTS);
  JASMINELUG_ASSERT(!IsOpen() || IsReusable(),
                    BATCH_STARTS_ON_REUSABLE_CONNECTION);
  StartCall(timeout, true, false, std::move(hook));
  if (!IsOpen()) {
    return;
  }
  bool queued = PQenterPipelineMode(m_pg) == 1;
  for (const Statement& statement : batch.m_statements) {
    queued = queued && Send(statement);
  }
  if (!queued || PQpipelineSync(m_pg) != 1) {
    HandleSendFailure();
    return;
  }
  Flush();
}

// Sets up the state of a call and starts its timer. If the connection is
// already closed, posts kConnectionLost to `hook` instead.
void Connection::StartCall(Timeout timeout,
                           bool pipelined,
                           bool commit,
                           BatchHook hook) {
  JASMINELUG_ASSERT(m_state == State::kIdle || m_state == State::kClosed,
                    CALL_STARTS_ON_IDLE_CONNECTION);
  if (m_state == State::kClosed) {
    Error error;
    error.m_message = "the connection had closed before the call";
    asio::post(m_socket.get_executor(),
               [hook = std::move(hook), error] { hook(error); });
    return;
  }
  m_state = State::kRunning;
  m_call = Call{pipelined, commit, std::move(hook), {}, std::nullopt};
  StartTimer(timeout);
}

bool Connection::Send(const Statement& statement) {
  std::vector<const char*> values;
  values.reserve(statement.m_params.size());
  for (const Value& value : statement.m_params) {
    values.push_back(value ? value->c_str() : nullptr);
  }
  return PQsendQueryParams(m_pg, statement.m_sql.c_str(),
                           static_cast<int>(values.size()), nullptr,
                           values.data(), nullptr, nullptr, 0) == 1;
}

// Ends the call after libpq failed to queue or send it. libpq may already have
// sent a part of the data, so the call counts as sent.
void Connection::HandleSendFailure() {
  const std::string message = PQerrorMessage(m_pg);
  asio::post(m_socket.get_executor(), [self = shared_from_this(), message] {
    self->HandleConnectionLoss(message, true);
  });
}

void Connection::Flush() {
  const int left = PQflush(m_pg);
  if (left == 0) {
    return;
  }
  if (left < 0) {
    HandleSendFailure();
    return;
  }
  m_socket.async_wait(Wait::wait_write, [self = shared_from_this()](
                                            const asio::error_code& error) {
    if (!error && self->m_state == State::kRunning) {
      self->Flush();
    }
  });
}

void Connection::StartReading() {
  m_socket.async_wait(Wait::wait_read, [self = shared_from_this()](
                                           const asio::error_code& error) {
    if (error || !self->IsOpen()) {
      return;
    }
    self->OnReadable();
    if (self->IsOpen()) {
      self->StartReading();
    }
  });
}

void Connection::OnReadable() {
  const bool readable = PQconsumeInput(m_pg) == 1;
  if (m_state == State::kRunning) {
    // A complete answer may have arrived just before the end of the stream, so
    // the results are collected even if reading failed.
    CollectResults();
  } else {
    // Parses messages that may arrive at any time, such as ParameterStatus.
    PQisBusy(m_pg);
  }
  if (!readable && IsOpen()) {
    HandleConnectionLoss(PQerrorMessage(m_pg), m_state == State::kRunning);
  }
}

void Connection::CollectResults() {
  while (m_state == State::kRunning && PQisBusy(m_pg) == 0) {
    if (!TakeResult(PQgetResult(m_pg))) {
      return;
    }
  }
}

// Takes ownership of one result from libpq and adds it to the call. Returns
// false if the call has ended and no more results can follow.
bool Connection::TakeResult(PGresult* raw) {
  const internal::PgResult result(raw);
  if (PQstatus(m_pg) == CONNECTION_BAD) {
    HandleConnectionLoss(PQerrorMessage(m_pg), true);
    return false;
  }
  if (result == nullptr) {
    if (!m_call->m_pipelined) {
      FinishCall();
      return false;
    }
    // In a pipeline, a null result only separates the results of one statement
    // from those of the next.
    return true;
  }
  const ExecStatusType status = PQresultStatus(result.get());
  if (status == PGRES_PIPELINE_SYNC) {
    FinishCall();
    return false;
  }
  if (internal::IsSuccess(result.get())) {
    m_call->m_results.push_back(internal::ToStatementResult(result.get()));
  } else if (!m_call->m_error) {
    m_call->m_error = internal::ToError(result.get());
  }
  return true;
}

void Connection::FinishCall() {
  m_timer.cancel();
  if (m_call->m_pipelined && PQexitPipelineMode(m_pg) != 1) {
    HandleConnectionLoss(PQerrorMessage(m_pg), true);
    return;
  }
  const Call call = std::move(*m_call);
  m_call.reset();
  m_state = State::kIdle;
  call.m_hook(OutcomeOf(call));
}

BatchOutcome Connection::OutcomeOf(const Call& call) const {
  if (call.m_error) {
    return *call.m_error;
  }
  if (call.m_results.empty()) {
    Error error;
    error.m_kind = ErrorKind::kUnexpectedAnswer;
    error.m_message = "the member answered without a result";
    return error;
  }
  if (call.m_commit && call.m_results.back().m_tag == "ROLLBACK") {
    Error error;
    error.m_kind = ErrorKind::kRejected;
    error.m_sqlstate = kInFailedTransaction;
    error.m_message = "the failed transaction was rolled back";
    return error;
  }
  BatchResult answer;
  answer.m_report = Report();
  answer.m_results = call.m_results;
  for (StatementResult& result : answer.m_results) {
    result.m_report = answer.m_report;
  }
  return answer;
}

void Connection::HandleConnectionLoss(const std::string& message,
                                      bool after_send) {
  if (!IsOpen()) {
    return;
  }
  std::optional<Call> call = std::exchange(m_call, std::nullopt);
  const ClosedHook closed_hook = std::exchange(m_closed_hook, nullptr);
  m_state = State::kClosed;
  m_timer.cancel();
  ReleaseSocket();
  PQfinish(std::exchange(m_pg, nullptr));
  if (call) {
    Error error;
    error.m_kind = ErrorKind::kConnectionLost;
    error.m_after_send = after_send;
    error.m_message = message;
    call->m_hook(error);
  }
  if (closed_hook) {
    closed_hook();
  }
}

void Connection::Close() {
  const auto self = shared_from_this();
  HandleConnectionLoss("the connection was closed", m_state == State::kRunning);
}

void Connection::SetClosedHook(ClosedHook hook) {
  m_closed_hook = std::move(hook);
}

bool Connection::IsReusable() const {
  return m_state == State::kIdle && PQstatus(m_pg) == CONNECTION_OK &&
         PQpipelineStatus(m_pg) == PQ_PIPELINE_OFF &&
         PQtransactionStatus(m_pg) == PQTRANS_IDLE;
}

GroupReport Connection::Report() const {
  return m_pg == nullptr ? GroupReport{} : internal::ToGroupReport(m_pg);
}

void Connection::StartTimer(Timeout timeout) {
  m_timer.expires_after(timeout);
  m_timer.async_wait([self =
                          shared_from_this()](const asio::error_code& error) {
    if (error || self->m_timer.expiry() > std::chrono::steady_clock::now()) {
      return;
    }
    if (self->m_state == State::kConnecting) {
      Error failure;
      failure.m_kind = ErrorKind::kConnectFailed;
      failure.m_message = "timed out";
      self->FailConnect(failure);
    } else if (self->m_state == State::kRunning) {
      self->HandleConnectionLoss("timed out", true);
    }
  });
}

void Connection::AttachSocket() {
  ReleaseSocket();
  m_socket.assign(PQsocket(m_pg));
}

// Detaches the socket from Asio. libpq owns the socket, so Asio must release it
// before PQfinish closes it.
void Connection::ReleaseSocket() {
  if (m_socket.is_open()) {
    m_socket.release();
  }
}

}  // namespace jasminelug::databases
