#ifndef TEST_FAKE_DATABASE_FAULT_H_
#define TEST_FAKE_DATABASE_FAULT_H_

namespace jasminelug::fake_database {

// What the next write transaction that commits will meet, once.
enum class CommitFault {
  kNone,
  // The connection closes and the transaction is rolled back.
  kDropBefore,
  // The transaction is committed and the connection closes without an answer.
  kDropAfter,
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_FAULT_H_
