#include "apps/gateway/statement_log.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <variant>

#include "apps/gateway/clock.h"

namespace jasminelug::gateway_app {
namespace {

// Maximum length of a text in a log line. Callers and members choose ids,
// reasons and signatures, which may be as long as a message.
constexpr std::size_t kMaxLoggedBytes = 256;
// Length of the start of a statement's text that contains its verb.
constexpr std::size_t kVerbBytes = 8;

std::string ToText(const std::optional<gateway::LogPosition>& position) {
  if (!position) {
    return "";
  }
  return std::to_string(position->m_term.value()) + "." +
         std::to_string(position->m_index);
}

// Adds what the use of the member relied on. A statement that was not sent to a
// member has no such fields.
void AddEvidence(const gateway::StatementEvidence& evidence,
                 LogFields* fields) {
  if (!evidence.m_contact_age) {
    return;
  }
  fields->push_back(
      {"connection", static_cast<std::int64_t>(evidence.m_connection.value())});
  fields->push_back(
      {"answers_before", static_cast<std::int64_t>(evidence.m_answers_before)});
  fields->push_back({"as_primary", evidence.m_as_primary});
  fields->push_back(
      {"record", static_cast<std::int64_t>(evidence.m_record.value())});
  fields->push_back(
      {"contact_age_ms", ToMilliseconds(*evidence.m_contact_age)});
  fields->push_back({"required", ToText(evidence.m_required)});
  fields->push_back({"answered", ToText(evidence.m_answered)});
}

}  // namespace

StatementLog::StatementLog(log4cplus::Logger logger)
    : m_logger(std::move(logger)) {}

void StatementLog::Write(log4cplus::LogLevel level,
                         const std::string& message,
                         LogFields fields) {
  for (LogField& field : fields) {
    auto* text = std::get_if<std::string>(&field.m_value);
    if (text && text->size() > kMaxLoggedBytes) {
      text->resize(kMaxLoggedBytes);
    }
  }
  Log(m_logger, level, message, fields);
}

void StatementLog::BeginSecond(gateway::Time now) {
  const int suppressed = std::max(m_refusals - kRefusalsPerSecond, 0) +
                         std::max(m_completed - kCompletedPerSecond, 0) +
                         std::max(m_unexpected - kUnexpectedPerSecond, 0);
  if (suppressed > 0) {
    Write(log4cplus::INFO_LOG_LEVEL, "statements left out of the log",
          {{"refused", std::int64_t{m_refusals}},
           {"completed", std::int64_t{m_completed}},
           {"unexpected_answers", std::int64_t{m_unexpected}},
           {"left_out", std::int64_t{suppressed}}});
  }
  m_second_start = now;
  m_refusals = 0;
  m_completed = 0;
  m_unexpected = 0;
}

bool StatementLog::Count(int limit, int* count, gateway::Time now) {
  if (now - m_second_start >= std::chrono::seconds(1)) {
    BeginSecond(now);
  }
  *count += 1;
  return *count <= limit;
}

void StatementLog::Add(const gateway::StatementSummary& end,
                       gateway::Time now) {
  const bool is_logged = end.m_completed
                             ? Count(kCompletedPerSecond, &m_completed, now)
                             : Count(kRefusalsPerSecond, &m_refusals, now);
  if (!is_logged) {
    return;
  }
  LogFields fields = {{"statement", end.m_statement_id},
                      {"database", end.m_database.str()},
                      {"customer", end.m_customer.str()},
                      {"member", end.m_member.str()},
                      {"forwarded_to", end.m_holder.str()},
                      {"attempts", std::int64_t{end.m_attempts}},
                      {"took_ms", ToMilliseconds(end.m_time)},
                      {"objective_ms", ToMilliseconds(end.m_objective)}};
  AddEvidence(end.m_evidence, &fields);
  if (!end.m_completed) {
    fields.push_back({"code", std::string(gateway::NameOf(end.m_code))});
    fields.push_back({"reason", end.m_reason});
  }
  Write(log4cplus::INFO_LOG_LEVEL,
        end.m_completed ? "statement completed" : "statement refused", fields);
}

void StatementLog::AddMalformed(const gateway::Statement& statement,
                                gateway::Time now) {
  if (!Count(kRefusalsPerSecond, &m_refusals, now)) {
    return;
  }
  Write(log4cplus::INFO_LOG_LEVEL, "refused a malformed statement",
        {{"statement", statement.m_id},
         {"verb", statement.m_text.substr(0, kVerbBytes)},
         {"bytes", static_cast<std::int64_t>(statement.m_text.size())}});
}

void StatementLog::AddUnexpected(const gateway::UnexpectedAnswer& answer,
                                 gateway::Time now) {
  if (!Count(kUnexpectedPerSecond, &m_unexpected, now)) {
    return;
  }
  LogFields fields = {
      {"fit", std::string(gateway::NameOf(answer.m_fit))},
      {"member", answer.m_member.str()},
      {"connection", static_cast<std::int64_t>(answer.m_connection.value())},
      {"answers_before", static_cast<std::int64_t>(answer.m_answers_before)},
      {"unanswered", static_cast<std::int64_t>(answer.m_unanswered)},
      {"statement", answer.m_statement_id},
      {"rows", static_cast<std::int64_t>(answer.m_rows)},
      {"signature", answer.m_signature}};
  if (answer.m_error) {
    fields.push_back({"code", std::string(gateway::NameOf(*answer.m_error))});
  }
  Write(log4cplus::WARN_LOG_LEVEL, "did not use a member's unexpected answer",
        fields);
}

void StatementLog::AddRepeatedStart(gateway::ConnectionId connection,
                                    const gateway::MemberId& member,
                                    gateway::Time now) {
  if (!Count(kUnexpectedPerSecond, &m_unexpected, now)) {
    return;
  }
  Write(log4cplus::WARN_LOG_LEVEL, "ignored a member's repeated READY",
        {{"member", member.str()},
         {"connection", static_cast<std::int64_t>(connection.value())}});
}

void StatementLog::AddGivenUp(const adapter::GivenUpConnection& link,
                              gateway::Time now) {
  if (!Count(kUnexpectedPerSecond, &m_unexpected, now)) {
    return;
  }
  Write(log4cplus::WARN_LOG_LEVEL, "gave up a member connection",
        {{"member", link.m_member.str()},
         {"connection", static_cast<std::int64_t>(link.m_connection.value())},
         {"reason", link.m_reason}});
}

}  // namespace jasminelug::gateway_app
