#ifndef APPS_GATEWAY_STATEMENT_LOG_H_
#define APPS_GATEWAY_STATEMENT_LOG_H_

#include <log4cplus/logger.h>

#include <cstdint>
#include <string>

#include "jasminelug/common.h"
#include "jasminelug/gateway.h"
#include "platform/member_links.h"

namespace jasminelug::gateway_app {

// Logs the outcome of statements, and members' answers that were not used, at a
// bounded rate. Within each second, it logs the first kRefusalsPerSecond
// statements without a result, the first kCompletedPerSecond completed ones and
// the first kUnexpectedPerSecond answers. The first event after that second
// logs how many were omitted.
class StatementLog {
 public:
  static constexpr int kRefusalsPerSecond = 20;
  static constexpr int kCompletedPerSecond = 2;
  static constexpr int kUnexpectedPerSecond = 20;

  explicit StatementLog(log4cplus::Logger logger);

  void Add(const gateway::StatementSummary& end, gateway::Time now);
  // Logs a caller's statement that cannot be parsed or sent to a member.
  void AddMalformed(const gateway::Statement& statement, gateway::Time now);
  void AddUnexpected(const gateway::UnexpectedAnswer& answer,
                     gateway::Time now);
  // Logs a repeated READY to START. Counts as an unexpected answer.
  void AddRepeatedStart(gateway::ConnectionId connection,
                        const gateway::MemberId& member,
                        gateway::Time now);
  // Logs a member connection that was given up. Counts as an unexpected answer.
  void AddGivenUp(const adapter::GivenUpConnection& link, gateway::Time now);

 private:
  // Counts an event of a kind. Returns whether it is to be logged.
  bool Count(int limit, int* count, gateway::Time now);
  void BeginSecond(gateway::Time now);
  // Logs with long texts cut.
  void Write(log4cplus::LogLevel level,
             const std::string& message,
             LogFields fields);

  log4cplus::Logger m_logger;
  gateway::Time m_second_start;
  int m_refusals = 0;
  int m_completed = 0;
  int m_unexpected = 0;
};

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_STATEMENT_LOG_H_
