// Tests the sessions of the engine: values, prepared statements, transactions,
// keys and routes.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

std::vector<MemberVerb> VerbsOf(const FakeConnection& connection) {
  std::vector<MemberVerb> verbs;
  for (const MemberStatement& statement : connection.m_all) {
    verbs.push_back(statement.m_verb);
  }
  return verbs;
}

// Time from the request to stop until every statement has its answer.
constexpr Duration kShutdownTime = 5500ms;

class EngineSessionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineSessionsTest);
  CPPUNIT_TEST(RefusesUnknownCallers);
  CPPUNIT_TEST(WithdrawnKeyStopsAnOpenSession);
  CPPUNIT_TEST(RemovedRouteStopsTheNextOperation);
  CPPUNIT_TEST(KeysAreNotAcceptedWithoutRecentContact);
  CPPUNIT_TEST(ValuesFollowTheSession);
  CPPUNIT_TEST(ConnectionIsResetForAnotherSession);
  CPPUNIT_TEST(PreparedNamesAreTheConnectionsOwn);
  CPPUNIT_TEST(UnknownPreparedNameIsRefused);
  CPPUNIT_TEST(TransactionKeepsItsConnection);
  CPPUNIT_TEST(FailedTransactionRefusesUntilItEnds);
  CPPUNIT_TEST(LossBetweenStatementsAbortsTheTransaction);
  CPPUNIT_TEST(CallerThatLeavesIsRolledBack);
  CPPUNIT_TEST(IdleTransactionIsEnded);
  CPPUNIT_TEST(MalformedStatementsRunNothing);
  CPPUNIT_TEST(ConnectionsBelongToOneCustomer);
  CPPUNIT_TEST(ShutdownClosesIdleSessionsOnly);
  CPPUNIT_TEST(ShutdownAnswersEveryStatement);
  CPPUNIT_TEST(ShutdownBeginsNothingThatCannotEnd);
  CPPUNIT_TEST(ShutdownRefusesLateStatementsOfOpenSessions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesUnknownCallers() {
    struct Case {
      const char* m_database;
      const char* m_key;
      std::optional<ErrorCode> m_code;
    };
    const std::vector<Case> cases = {
        {"strict", "key-a", std::nullopt},
        {"strict", "key-z", ErrorCode::kUnauthorized},
        {"strict", "", ErrorCode::kUnauthorized},
        {"none", "key-a", ErrorCode::kUnknownDatabase}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      fixture.Open(row.m_database, row.m_key);
      CPPUNIT_ASSERT_EQUAL(row.m_code.has_value(),
                           fixture.m_refused.has_value());
      if (row.m_code) {
        CPPUNIT_ASSERT(*row.m_code == fixture.m_refused->m_code);
      }
    }
  }

  void WithdrawnKeyStopsAnOpenSession() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.m_configuration.m_keys.erase(EngineFixture::Key());
    fixture.Configure();
    fixture.Read(id);
    CPPUNIT_ASSERT(ErrorCode::kUnauthorized == fixture.LastError(id));
    CPPUNIT_ASSERT(fixture.m_connections.empty());
  }

  void RemovedRouteStopsTheNextOperation() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.m_configuration.m_routes.erase(DatabaseName("strict"));
    fixture.Configure();
    fixture.Read(id);
    CPPUNIT_ASSERT(ErrorCode::kUnknownDatabase == fixture.LastError(id));
  }

  void KeysAreNotAcceptedWithoutRecentContact() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.AdvanceWithoutContact(EngineOptions().m_key_contact_limit);
    fixture.Read(id);
    CPPUNIT_ASSERT(ErrorCode::kBusy == fixture.LastError(id));
    CPPUNIT_ASSERT(fixture.m_connections.empty());
    fixture.RecordContact();
    fixture.Read(id);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
  }

  void ValuesFollowTheSession() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.SetValue(id, "v", "1");
    CPPUNIT_ASSERT(fixture.Succeeded(id));
    fixture.Read(id);
    fixture.AnswerAllAt("p", 1);
    fixture.Read(id);
    fixture.AnswerAllAt("p", 1);
    const std::vector<MemberVerb> expected = {
        MemberVerb::kSetValue, MemberVerb::kForward, MemberVerb::kForward};
    CPPUNIT_ASSERT(expected == VerbsOf(fixture.m_connections.begin()->second));
  }

  void ConnectionIsResetForAnotherSession() {
    EngineFixture fixture;
    const SessionId first = fixture.Open("strict");
    fixture.SetValue(first, "v", "1");
    fixture.Read(first);
    fixture.AnswerAllAt("p", 1);
    const SessionId second = fixture.Open("strict");
    fixture.Read(second);
    fixture.AnswerAllAt("p", 1);
    const std::vector<MemberVerb> expected = {
        MemberVerb::kSetValue, MemberVerb::kForward, MemberVerb::kReset,
        MemberVerb::kForward};
    CPPUNIT_ASSERT(expected == VerbsOf(fixture.m_connections.begin()->second));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_connections.size());
  }

  void PreparedNamesAreTheConnectionsOwn() {
    EngineFixture fixture;
    // Two sessions use the same name for different prepared statements.
    std::vector<std::string> names;
    for (const char* shape : {"shape-1", "shape-2", "shape-1"}) {
      const SessionId id = fixture.Open("strict");
      Statement prepare =
          EngineFixture::Make(StatementKind::kPrepare, "PREPARE", "s");
      prepare.m_prepared = {Access::kRead, shape};
      fixture.m_engine.OnStatement(id, prepare, fixture.m_now);
      fixture.m_engine.OnStatement(
          id,
          EngineFixture::Make(StatementKind::kExecute, "EXECUTE s i", "s", "i"),
          fixture.m_now);
      fixture.AnswerAllAt("p", 1);
      CPPUNIT_ASSERT(fixture.Succeeded(id));
      names.push_back(
          fixture.m_connections.begin()->second.m_all.back().m_name);
    }
    CPPUNIT_ASSERT(names[0] != names[1]);
    CPPUNIT_ASSERT_EQUAL(names[0], names[2]);
  }

  void UnknownPreparedNameIsRefused() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.m_engine.OnStatement(
        id,
        EngineFixture::Make(StatementKind::kExecute, "EXECUTE s i", "s", "i"),
        fixture.m_now);
    CPPUNIT_ASSERT(ErrorCode::kUnknownStatement == fixture.LastError(id));
    CPPUNIT_ASSERT(fixture.m_connections.empty());
  }

  void TransactionKeepsItsConnection() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const SessionId other = fixture.Open("strict");
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    CPPUNIT_ASSERT(fixture.m_connections.empty());
    fixture.Write(id);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(TransactionState::kOpen == fixture.LastAnswer(id)->m_state);
    const FakeConnection& own = fixture.m_connections.begin()->second;
    const std::size_t sent = own.m_all.size();
    fixture.Read(other);
    CPPUNIT_ASSERT_EQUAL(sent, own.m_all.size());
    fixture.Send(id, StatementKind::kCommit, "COMMIT");
    fixture.AnswerAllAt("p", 2);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
    CPPUNIT_ASSERT(TransactionState::kNone == fixture.LastAnswer(id)->m_state);
    const std::vector<MemberVerb> expected = {
        MemberVerb::kBegin, MemberVerb::kForward, MemberVerb::kForward};
    CPPUNIT_ASSERT(expected == VerbsOf(own));
  }

  void FailedTransactionRefusesUntilItEnds() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    fixture.Write(id);
    fixture.AnswerAllAt("p", 1);
    fixture.Write(id);
    fixture.AnswerAt("p", Refused{ErrorCode::kFailed, "x"},
                     TransactionState::kFailed, 1);
    CPPUNIT_ASSERT(TransactionState::kFailed ==
                   fixture.LastAnswer(id)->m_state);
    fixture.Write(id);
    CPPUNIT_ASSERT(ErrorCode::kMalformed == fixture.LastError(id));
    fixture.Send(id, StatementKind::kCommit, "COMMIT");
    CPPUNIT_ASSERT(ErrorCode::kAborted == fixture.LastError(id));
    CPPUNIT_ASSERT(TransactionState::kNone == fixture.LastAnswer(id)->m_state);
    // The member rolls the transaction of a closed connection back.
    const FakeConnection& connection = fixture.m_connections.begin()->second;
    CPPUNIT_ASSERT(connection.m_closed);
    CPPUNIT_ASSERT(MemberVerb::kForward == connection.m_all.back().m_verb);
    CPPUNIT_ASSERT(connection.m_all.back().m_text != "COMMIT");
  }

  // A statement of a transaction that was lost between two statements was
  // malformed, although the caller could not know, and its operation failed.
  void LossBetweenStatementsAbortsTheTransaction() {
    struct Case {
      const char* m_name;
      bool m_idle;
    };
    for (const Case& row : {Case{"lost", false}, Case{"idle", true}}) {
      EngineFixture fixture;
      const SessionId id = fixture.Open("strict");
      fixture.Send(id, StatementKind::kBegin, "BEGIN");
      fixture.Write(id);
      fixture.AnswerAllAt("p", 1);
      if (row.m_idle) {
        fixture.Advance(fixture.m_configuration.m_transaction_idle_limit +
                        50ms);
      } else {
        fixture.LoseMember("p");
      }
      fixture.Write(id);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             ErrorCode::kAborted == fixture.LastError(id));
      CPPUNIT_ASSERT_MESSAGE(row.m_name, TransactionState::kFailed ==
                                             fixture.LastAnswer(id)->m_state);
      fixture.Write(id);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             ErrorCode::kMalformed == fixture.LastError(id));
    }
  }

  void CallerThatLeavesIsRolledBack() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    fixture.Write(id);
    fixture.AnswerAllAt("p", 1);
    fixture.m_engine.OnSessionEnd(id, fixture.m_now);
    const FakeConnection& connection = fixture.m_connections.begin()->second;
    // The member rolls the transaction of a closed connection back.
    CPPUNIT_ASSERT(connection.m_closed);
    CPPUNIT_ASSERT(MemberVerb::kForward == connection.m_all.back().m_verb);
    CPPUNIT_ASSERT(connection.m_all.back().m_text != "COMMIT");
  }

  void IdleTransactionIsEnded() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    fixture.Write(id);
    fixture.AnswerAllAt("p", 1);
    fixture.Advance(fixture.m_configuration.m_transaction_idle_limit + 50ms);
    const FakeConnection& connection = fixture.m_connections.begin()->second;
    // The member rolls the transaction of a closed connection back.
    CPPUNIT_ASSERT(connection.m_closed);
    CPPUNIT_ASSERT(MemberVerb::kForward == connection.m_all.back().m_verb);
    CPPUNIT_ASSERT(connection.m_all.back().m_text != "COMMIT");
    fixture.Send(id, StatementKind::kCommit, "COMMIT");
    CPPUNIT_ASSERT(ErrorCode::kAborted == fixture.LastError(id));
  }

  void MalformedStatementsRunNothing() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    fixture.Send(id, StatementKind::kMalformed, "SELEKT");
    CPPUNIT_ASSERT(ErrorCode::kMalformed == fixture.LastError(id));
    fixture.Send(id, StatementKind::kRollback, "ROLLBACK");
    CPPUNIT_ASSERT(ErrorCode::kMalformed == fixture.LastError(id));
    CPPUNIT_ASSERT(fixture.m_connections.empty());
  }

  void ConnectionsBelongToOneCustomer() {
    EngineFixture fixture;
    for (const char* key : {"key-a", "key-b", "key-a"}) {
      const SessionId id = fixture.Open("strict", key);
      fixture.Read(id);
      fixture.AnswerAllAt("p", 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.m_connections.size());
    for (const auto& [connection_id, connection] : fixture.m_connections) {
      const std::size_t expected =
          connection.m_customer == CustomerName("a") ? 2 : 1;
      CPPUNIT_ASSERT_EQUAL(expected, connection.m_all.size());
    }
  }

  void ShutdownClosesIdleSessionsOnly() {
    EngineFixture fixture;
    const SessionId idle = fixture.Open("strict");
    const SessionId busy = fixture.Open("strict");
    fixture.Advance(1s);
    fixture.Read(busy);
    fixture.OpenConnections();
    fixture.m_engine.BeginShutdown(fixture.m_now);
    fixture.Advance(300ms);
    CPPUNIT_ASSERT(std::vector<SessionId>{idle} == fixture.m_closed_sessions);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(busy));
    // A session that was just active is not closed yet, because its caller may
    // be sending its next statement.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_closed_sessions.size());
    fixture.Advance(300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.m_closed_sessions.size());
  }

  // Load: all instances are stopped at once, so that their callers have nowhere
  // to go and send until the end.
  // Guards against: review case 4, statements are cut off at the exit.
  void ShutdownAnswersEveryStatement() {
    struct Case {
      const char* m_name;
      StatementKind m_kind;
      bool m_in_transaction;
      bool m_sent;
      ErrorCode m_expected;
    };
    const std::vector<Case> cases = {
        {"read at a member", StatementKind::kRead, false, true,
         ErrorCode::kTimeout},
        {"write at a member", StatementKind::kWrite, false, true,
         ErrorCode::kInDoubt},
        {"not placed yet", StatementKind::kWrite, false, false,
         ErrorCode::kBusy},
        {"in a transaction", StatementKind::kWrite, true, true,
         ErrorCode::kAborted}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      Route& route = fixture.m_configuration.m_routes[DatabaseName("strict")];
      route.m_statement_timeout = 5s;
      route.m_objective = row.m_in_transaction ? 1s : 4s;
      fixture.m_configuration.m_version += 1;
      fixture.m_configuration.m_revision = Revision(2);
      fixture.Configure();
      fixture.m_engine.BeginShutdown(fixture.m_now);
      fixture.Advance(1s);
      const SessionId id = fixture.Open("strict");
      if (row.m_in_transaction) {
        fixture.Send(id, StatementKind::kBegin, "BEGIN");
      }
      if (!row.m_sent) {
        const Time usable_from = fixture.m_now + kShutdownTime - 1010ms;
        fixture.m_engine.SetPrimary(EngineFixture::Group(),
                                    {MemberId("p"), false, usable_from}, false,
                                    fixture.m_now);
      }
      fixture.Send(id, row.m_kind, "WRITE x 1");
      fixture.OpenConnections();
      if (row.m_in_transaction) {  // The statement follows its BEGIN.
        fixture.AnswerAt("p", Completed{}, TransactionState::kOpen, 1);
      }
      const std::size_t answers = fixture.CountAnswers(id);
      fixture.Advance(kShutdownTime - 1s - 20ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, answers,
                                   fixture.CountAnswers(id));
      fixture.Advance(20ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, answers + 1,
                                   fixture.CountAnswers(id));
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
    }
  }

  // Load: callers who have nowhere else to go send new operations until the
  // exit. Those that would probably not end in time are refused at once.
  void ShutdownBeginsNothingThatCannotEnd() {
    struct Case {
      const char* m_name;
      Duration m_after;
      StatementKind m_kind;
      bool m_accepted;
    };
    const std::vector<Case> cases = {
        {"read", kShutdownTime - 500ms, StatementKind::kRead, true},
        {"late read", kShutdownTime - 300ms, StatementKind::kRead, false},
        {"read after the end", kShutdownTime + 50ms, StatementKind::kRead,
         false},
        {"transaction", 2s, StatementKind::kBegin, true},
        {"late transaction", 2700ms, StatementKind::kBegin, false}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      fixture.m_engine.BeginShutdown(fixture.m_now);
      fixture.Advance(row.m_after);
      const SessionId id = fixture.Open("strict");
      const bool opened = !fixture.m_refused;
      CPPUNIT_ASSERT_MESSAGE(row.m_name, opened || !row.m_accepted);
      if (!opened) {
        CPPUNIT_ASSERT(ErrorCode::kBusy == fixture.m_refused->m_code);
        continue;
      }
      fixture.Send(id, row.m_kind, "READ x");
      fixture.AnswerAllAt("p", 1);
      const ErrorCode expected = ErrorCode::kBusy;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_accepted,
                                   fixture.Succeeded(id));
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, row.m_accepted || expected == fixture.LastError(id));
    }
  }

  // A session that is open already is refused in the same way.
  void ShutdownRefusesLateStatementsOfOpenSessions() {
    EngineFixture fixture;
    fixture.m_engine.BeginShutdown(fixture.m_now);
    fixture.Advance(kShutdownTime - 500ms);
    const SessionId id = fixture.Open("strict");
    fixture.Advance(140ms);
    fixture.Read(id);
    CPPUNIT_ASSERT(ErrorCode::kBusy == fixture.LastError(id));
    CPPUNIT_ASSERT(fixture.m_connections.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSessionsTest);

}  // namespace
}  // namespace jasminelug::gateway
