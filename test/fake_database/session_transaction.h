#ifndef TEST_FAKE_DATABASE_SESSION_TRANSACTION_H_
#define TEST_FAKE_DATABASE_SESSION_TRANSACTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "test/fake_database/group_member.h"
#include "test/fake_database/slots.h"
#include "test/fake_database/sql_engine.h"
#include "test/fake_database/sql_text.h"
#include "test/fake_database/writer.h"

namespace jasminelug::fake_database {

// The transaction of one session. It reads what is committed until its first
// write, and from then on its own copy of the database.
class SessionTransaction
    : public std::enable_shared_from_this<SessionTransaction> {
 public:
  using Hook = std::function<void(const SqlOutcome&)>;

  SessionTransaction(std::shared_ptr<GroupMember> member,
                     std::shared_ptr<Slots> slots);

  // Runs a statement other than a group function; `hook` may be called before
  // this returns.
  void Run(const Statement& statement, const Hook& hook);

  // Ends the transaction that a Sync closes, unless it is in a block. Returns
  // an error where it could not be committed.
  std::optional<SqlError> EndStatementTransaction();

  // Marks the transaction as failed: its changes are undone at once.
  void Fail();

  // Rolls all back when the session ends.
  void Abandon();

  // 'I', 'T' or 'E', as in ReadyForQuery.
  char Status() const;

  // Returns whether a fault wants the connection closed now.
  bool IsDropped() const { return m_dropped; }

  // Returns what to report with the next ReadyForQuery.
  databases::GroupReport TakeReport();

 private:
  enum class State { kNone, kStatement, kBlock, kFailedBlock };

  SqlOutcome Begin();
  SqlOutcome EndBlock(bool commit);
  void RunSql(const Statement& statement, const Hook& hook);
  void RunOnCommitted(const Statement& statement, Hook hook);
  void RunOnWriter(const Statement& statement, Hook hook);
  SqlOutcome ExecuteOnWriter(const Statement& statement);
  std::optional<SqlError> CommitWriter();
  void RollbackWriter();

  std::shared_ptr<GroupMember> m_member;
  std::shared_ptr<Slots> m_slots;
  State m_state = State::kNone;
  std::shared_ptr<Writer> m_writer;
  std::vector<Statement> m_written;
  std::optional<databases::GroupReport> m_report;
  bool m_abandoned = false;
  bool m_dropped = false;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_SESSION_TRANSACTION_H_
