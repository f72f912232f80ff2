#include "test/fake_database/applied_state.h"

#include <variant>

#include "jasminelug/common.h"

namespace jasminelug::fake_database {

AppliedState::AppliedState(asio::io_context& io,
                           const Log& log,
                           std::chrono::milliseconds lag)
    : m_log(log), m_lag(lag), m_timer(io) {}

void AppliedState::ApplyLater() {
  m_due.push_back({Clock::now() + m_lag, m_log.LastPosition()});
  if (m_due.size() == 1) {
    ScheduleNext();
  }
}

void AppliedState::ApplyNow() {
  m_due.clear();
  m_timer.cancel();
  ApplyTo(m_log.LastPosition());
}

void AppliedState::TruncateTo(Position position) {
  while (!m_due.empty() && m_due.back().m_position > position) {
    m_due.pop_back();
  }
  m_marks.clear();
  if (m_applied <= position) {
    // Entries up to `position` may have shared their due time with the tail.
    ApplyLater();
    return;
  }
  m_up_to_date.reset();
  m_applied = 0;
  m_engine = std::make_unique<SqlEngine>();
  ApplyTo(position);
}

void AppliedState::MarkPrimaryPosition(Clock::time_point time,
                                       Position position) {
  if (position <= m_applied) {
    m_marks.clear();
    m_up_to_date = time;
    return;
  }
  if (!m_marks.empty() && m_marks.back().m_position >= position) {
    m_marks.back().m_time = time;
    return;
  }
  m_marks.push_back({time, position});
}

std::optional<std::chrono::milliseconds> AppliedState::Age() const {
  if (!m_up_to_date) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(Clock::now() -
                                                      *m_up_to_date);
}

void AppliedState::ApplyTo(Position position) {
  while (m_applied < position) {
    const LogEntry& entry = m_log.EntryAt(m_applied + 1);
    m_engine->Execute({"BEGIN", {}});
    for (const Statement& statement : entry.m_statements) {
      const SqlOutcome outcome = m_engine->Execute(statement);
      JASMINELUG_ASSERT(std::holds_alternative<SqlResult>(outcome),
                        LOGGED_STATEMENT_CAN_BE_REPLAYED);
    }
    m_engine->Execute({"COMMIT", {}});
    ++m_applied;
  }
  while (!m_marks.empty() && m_marks.front().m_position <= m_applied) {
    m_up_to_date = m_marks.front().m_time;
    m_marks.pop_front();
  }
}

void AppliedState::ScheduleNext() {
  if (m_due.empty()) {
    return;
  }
  m_timer.expires_at(m_due.front().m_time);
  m_timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (error || self == nullptr) {
      return;
    }
    const Clock::time_point now = Clock::now();
    while (!self->m_due.empty() && self->m_due.front().m_time <= now) {
      self->ApplyTo(self->m_due.front().m_position);
      self->m_due.pop_front();
    }
    self->ScheduleNext();
  });
}

}  // namespace jasminelug::fake_database
