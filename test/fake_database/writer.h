#ifndef TEST_FAKE_DATABASE_WRITER_H_
#define TEST_FAKE_DATABASE_WRITER_H_

#include <deque>
#include <functional>

#include "test/fake_database/sql_engine.h"

namespace jasminelug::fake_database {

// A primary's copy of the database in which write transactions run, one at a
// time. What they commit is then applied to the copy that readers see, so
// that no reader waits for an open transaction or sees inside it.
class Writer {
 public:
  // Called once with true when the caller holds the writer, or with false
  // when the member has ceased to be the primary.
  using Hook = std::function<void(bool)>;

  explicit Writer(const SqlEngine& applied);

  // Waits in turn for the writer and begins a transaction in it.
  void Acquire(Hook hook);

  // Ends the holder's transaction and passes the writer on.
  void Commit();
  void Rollback();

  // Ends the primary's reign: the open transaction and all that wait for the
  // writer fail.
  void Revoke();

  bool IsRevoked() const { return m_revoked; }

  SqlEngine& Engine() { return m_engine; }

 private:
  void PassOn();

  SqlEngine m_engine;
  std::deque<Hook> m_waiting;
  bool m_held = false;
  bool m_revoked = false;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_WRITER_H_
