#include "apps/jasminelugd/operator_duty.h"

#include <asio/post.hpp>

#include <utility>

#include "apps/jasminelugd/status_reader.h"

namespace jasminelug::daemon {
namespace {

// Checks that the database and the successor exist, and passes the request to
// the engine. The returned term is 0, because the switchover has only begun.
Result<operators::SwitchoverOutcome, operators::AdminError> StartSwitchover(
    DecisionDuty& decision,
    const operators::SwitchoverRequest& request) {
  const core::DatabaseName database(request.m_database);
  const core::MemberId successor(request.m_successor);
  const core::Group* group = decision.engine().Groups().Find(database);
  if (group == nullptr) {
    return operators::AdminError{operators::AdminError::Kind::kBadRequest,
                                 "database: no such database"};
  }
  if (group->view().Find(successor) == nullptr) {
    return operators::AdminError{operators::AdminError::Kind::kBadRequest,
                                 "successor: the database has no such member"};
  }
  decision.Handle(core::SwitchoverRequested{database, successor});
  return operators::SwitchoverOutcome{request.m_database, request.m_successor,
                                      0};
}

}  // namespace

OperatorDuty::OperatorDuty(const http2::ServerOptions& options)
    : m_listener(m_thread.io(), options, MakeHooks()) {}

template <typename T>
void OperatorDuty::Read(
    const operators::Reply<T>& reply,
    std::function<Result<T, operators::AdminError>(DecisionDuty&)> read) {
  asio::post(m_decision->thread().io(), [this, reply, read = std::move(read)] {
    auto result = read(*m_decision);
    asio::post(m_thread.io(),
               [reply, result = std::move(result)] { reply(result); });
  });
}

operators::AdminHooks OperatorDuty::MakeHooks() {
  operators::AdminHooks hooks;
  hooks.m_on_status =
      [this](const operators::Reply<operators::StatusReport>& reply) {
        Read<operators::StatusReport>(
            reply, [](DecisionDuty& decision) { return ReadStatus(decision); });
      };
  hooks.m_on_timeline =
      [this](const operators::TimelineQuery& query,
             const operators::Reply<operators::TimelineEntries>& reply) {
        Read<operators::TimelineEntries>(reply,
                                         [query](DecisionDuty& decision) {
                                           return ReadTimeline(decision, query);
                                         });
      };
  hooks.m_on_metrics =
      [this](const operators::Reply<operators::MetricsReport>& reply) {
        Read<operators::MetricsReport>(reply, [](DecisionDuty& decision) {
          return ReadMetrics(decision);
        });
      };
  hooks.m_on_switchover =
      [this](const operators::SwitchoverRequest& request,
             const operators::Reply<operators::SwitchoverOutcome>& reply) {
        Read<operators::SwitchoverOutcome>(
            reply, [request](DecisionDuty& decision) {
              return StartSwitchover(decision, request);
            });
      };
  return hooks;
}

}  // namespace jasminelug::daemon
