#ifndef TEST_FAKE_DATABASE_APPLIED_STATE_H_
#define TEST_FAKE_DATABASE_APPLIED_STATE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>

#include "test/fake_database/log.h"
#include "test/fake_database/sql_engine.h"

namespace jasminelug::fake_database {

// The database as readers see it: the log's entries applied in order, on a
// replica a set lag after each was received.
class AppliedState : public std::enable_shared_from_this<AppliedState> {
 public:
  using Clock = std::chrono::steady_clock;

  // `log` must outlive this object's use.
  AppliedState(asio::io_context& io,
               const Log& log,
               std::chrono::milliseconds lag);

  // Valid until the next truncation.
  SqlEngine& Engine() { return *m_engine; }

  Position AppliedPosition() const { return m_applied; }

  // Applies what the log has gained once the lag has passed.
  void ApplyLater();

  // Applies all that the log holds.
  void ApplyNow();

  // Follows a truncation of the log to `position`, rebuilding the database
  // where it had gone further.
  void TruncateTo(Position position);

  // Notes that the primary had committed no more than `position` at `time`.
  void MarkPrimaryPosition(Clock::time_point time, Position position);

  // Returns how long ago all that the primary had committed was applied here,
  // or nothing if it never was.
  std::optional<std::chrono::milliseconds> Age() const;

 private:
  struct DuePosition {
    Clock::time_point m_time;
    Position m_position = 0;
  };

  void ApplyTo(Position position);
  void ScheduleNext();

  const Log& m_log;
  std::chrono::milliseconds m_lag;
  asio::steady_timer m_timer;
  std::unique_ptr<SqlEngine> m_engine = std::make_unique<SqlEngine>();
  Position m_applied = 0;
  // Both in the order of positions and times.
  std::deque<DuePosition> m_due;
  std::deque<DuePosition> m_marks;
  std::optional<Clock::time_point> m_up_to_date;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_APPLIED_STATE_H_
