#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

constexpr TransactionState kNone = TransactionState::kNone;
constexpr TransactionState kOpen = TransactionState::kOpen;

Answer AnswerOf(const Outcome& outcome, TransactionState state) {
  return {outcome, state, LogPosition{Term(1), 1}};
}

// Load pattern: sessions with values, whose connections are shared, at members
// that refuse some values and answer some statements twice.
class MemberValuesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberValuesTest);
  CPPUNIT_TEST(StatementAwaitsTheSessionsValues);
  CPPUNIT_TEST(StatementDoesNotRunWithoutItsValues);
  CPPUNIT_TEST(WriteBehindARefusedPrepareIsRunAgain);
  CPPUNIT_TEST(LateErrorOfAValueDoesNotPromiseThatAWriteDidNotRun);
  CPPUNIT_TEST(DoubtfulErrorAbortsATransaction);
  CPPUNIT_TEST(BeginLeavesNoDoubtOfTheValuesBeforeIt);
  CPPUNIT_TEST(MemberIsChosenAgainIfItIsTakenOutOfUse);
  CPPUNIT_TEST(ValuesThatAreNotAnsweredRunNothing);
  CPPUNIT_TEST(ConnectionWithTheSessionsValuesIsPreferred);
  CPPUNIT_TEST(ErrorIsTheStatementsOwnIfAllValuesWereAnswered);
  CPPUNIT_TEST(ReadWhoseValuesAreNotAnsweredIsRetriedSpeculatively);
  CPPUNIT_TEST(CallerThatLeavesReleasesTheConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StatementAwaitsTheSessionsValues() {
    EngineFixture fixture;
    const SessionId id = OpenWithValues(&fixture, 2);
    fixture.Write(id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.CountUnansweredAt("p"));
    fixture.CompleteAt("p", kNone, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountUnansweredAt("p"));
    fixture.CompleteAt("p", kNone, 1);
    CPPUNIT_ASSERT(MemberVerb::kForward ==
                   fixture.FirstUnansweredAt("p")->m_verb);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
  }

  // A member that refused a value ran the write that was sent behind it, and
  // the caller was told that its outcome was unknown.
  void StatementDoesNotRunWithoutItsValues() {
    struct Case {
      const char* m_name;
      ErrorCode m_code;
      // What the caller is told; nullopt if the statement is run elsewhere.
      std::optional<ErrorCode> m_expected;
    };
    const std::vector<Case> cases = {
        {"busy", ErrorCode::kBusy, std::nullopt},
        {"failed", ErrorCode::kFailed, ErrorCode::kBusy},
        {"malformed", ErrorCode::kMalformed, ErrorCode::kBusy}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = OpenWithValues(&fixture, 1);
      fixture.Write(id);
      fixture.AnswerAt("p", Refused{row.m_code, "-"}, kNone, 1);
      const FakeConnection& refused = fixture.m_connections.begin()->second;
      CPPUNIT_ASSERT_MESSAGE(row.m_name, refused.m_closed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::size_t{1},
                                   refused.m_all.size());
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
      fixture.Advance(50ms);
      fixture.AnswerAllAt("p", 1);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
    }
  }

  // What is sent behind a refused PREPARE does not run. A write was in doubt.
  void WriteBehindARefusedPrepareIsRunAgain() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    Statement prepare =
        EngineFixture::Make(StatementKind::kPrepare, "PREPARE", "s");
    prepare.m_prepared = {Access::kWrite, "shape"};
    fixture.m_engine.OnStatement(id, prepare, fixture.m_now);
    fixture.m_engine.OnStatement(
        id, EngineFixture::Make(StatementKind::kExecute, "EXECUTE", "s", "x"),
        fixture.m_now);
    fixture.AnswerAt("p", Refused{ErrorCode::kBusy, "-"}, kNone, 1);
    fixture.AnswerAt("p", Refused{ErrorCode::kUnknownStatement, "-"}, kNone, 1);
    CPPUNIT_ASSERT(!fixture.LastError(id));
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
    CPPUNIT_ASSERT(fixture.m_connections.begin()->second.m_closed);
  }

  // The answer to the first value came twice and was taken for the one to the
  // second. The refusal of the second was taken for the write's, which ran.
  void LateErrorOfAValueDoesNotPromiseThatAWriteDidNotRun() {
    struct Case {
      const char* m_name;
      // What the member answers to what is sent after the error.
      Answer m_next;
      std::optional<ErrorCode> m_expected;
    };
    const std::vector<Case> cases = {
        {"the write's own answer", AnswerOf(Completed{{}, "write"}, kNone),
         ErrorCode::kInDoubt},
        {"another error", AnswerOf(Refused{ErrorCode::kBusy, "-"}, kNone),
         ErrorCode::kInDoubt},
        {"nothing before the barrier's", AnswerOf(Completed{}, kOpen),
         std::nullopt}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = OpenWithValues(&fixture, 2);
      fixture.Write(id);
      fixture.CompleteAt("p", kNone, 1);
      const ConnectionId connection = fixture.m_connections.begin()->first;
      Deliver(&fixture, connection, AnswerOf(Completed{}, kNone));
      Deliver(&fixture, connection,
              AnswerOf(Refused{ErrorCode::kBusy, "-"}, kNone));
      CPPUNIT_ASSERT_MESSAGE(row.m_name, !fixture.LastError(id));
      Deliver(&fixture, connection, row.m_next);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             fixture.m_connections.at(connection).m_closed);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
      if (!row.m_expected) {
        fixture.Advance(50ms);
        fixture.AnswerAllAt("p", 1);
        CPPUNIT_ASSERT_MESSAGE(row.m_name, fixture.Succeeded(id));
      }
    }
  }

  // A value that is set in a transaction, whose BEGIN has a plain answer too.
  void DoubtfulErrorAbortsATransaction() {
    struct Case {
      const char* m_name;
      StatementKind m_kind;
      ErrorCode m_expected;
    };
    const std::vector<Case> cases = {
        {"write", StatementKind::kWrite, ErrorCode::kAborted},
        {"commit", StatementKind::kCommit, ErrorCode::kInDoubt}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = fixture.Open("strict");
      fixture.Send(id, StatementKind::kBegin, "BEGIN");
      fixture.Write(id);
      fixture.AnswerAllAt("p", 1);
      fixture.SetValue(id, "v", "1");
      fixture.Send(id, row.m_kind, "text");
      fixture.CompleteAt("p", kOpen, 1);
      fixture.AnswerAt("p", Refused{ErrorCode::kBusy, "-"}, kOpen, 1);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
      CPPUNIT_ASSERT(fixture.m_connections.begin()->second.m_closed);
    }
  }

  // After its BEGIN was answered, an error is the statement's own: it may wait
  // and try again.
  void BeginLeavesNoDoubtOfTheValuesBeforeIt() {
    EngineFixture fixture;
    const SessionId id = OpenWithValues(&fixture, 2);
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    fixture.Write(id);
    fixture.CompleteAt("p", kNone, 1);
    fixture.CompleteAt("p", kNone, 1);
    fixture.CompleteAt("p", kOpen, 1);
    fixture.AnswerAt("p", Refused{ErrorCode::kBusy, "-"}, kOpen, 1);
    CPPUNIT_ASSERT(!fixture.LastError(id));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_connections.size());
    fixture.Advance(50ms);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
  }

  // A member was taken out of use while the values were on their way.
  void MemberIsChosenAgainIfItIsTakenOutOfUse() {
    EngineFixture fixture;
    const SessionId id = OpenWithValues(&fixture, 1);
    fixture.Write(id);
    fixture.OpenConnections();
    fixture.m_engine.SetPrimary(EngineFixture::Group(),
                                {MemberId("p"), false, {}}, false,
                                fixture.m_now);
    fixture.CompleteAt("p", kNone, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountUnansweredAt("p"));
    fixture.m_engine.SetPrimary(EngineFixture::Group(),
                                {MemberId("r1"), true, {}}, false,
                                fixture.m_now);
    fixture.AnswerAllAt("r1", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
  }

  void ValuesThatAreNotAnsweredRunNothing() {
    EngineFixture fixture;
    const SessionId id = OpenWithValues(&fixture, 1);
    fixture.Write(id);
    fixture.OpenConnections();
    fixture.Advance(1100ms);
    CPPUNIT_ASSERT(ErrorCode::kBusy == fixture.LastError(id));
    const FakeConnection& connection = fixture.m_connections.begin()->second;
    CPPUNIT_ASSERT(connection.m_closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, connection.m_all.size());
  }

  // A reset and a round trip for the values are spared.
  void ConnectionWithTheSessionsValuesIsPreferred() {
    EngineFixture fixture;
    const SessionId first = OpenWithValues(&fixture, 1);
    const SessionId plain = fixture.Open("strict");
    fixture.Read(first);
    fixture.Read(plain);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.m_connections.size());
    for (int i = 0; i < 3; ++i) {
      fixture.Read(first);
      fixture.AnswerAllAt("p", 1);
      fixture.Read(plain);
      fixture.AnswerAllAt("p", 1);
    }
    for (const auto& [connection_id, connection] : fixture.m_connections) {
      for (const MemberStatement& statement : connection.m_all) {
        CPPUNIT_ASSERT(statement.m_verb != MemberVerb::kReset);
      }
    }
  }

  void ErrorIsTheStatementsOwnIfAllValuesWereAnswered() {
    struct Case {
      const char* m_name;
      int m_values;
      bool m_after_a_read;
    };
    const std::vector<Case> cases = {
        {"no value", 0, false},
        {"the only value of a new connection", 1, false},
        {"several values, then a read", 3, true}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = OpenWithValues(&fixture, row.m_values);
      if (row.m_after_a_read) {
        fixture.Read(id);
        fixture.AnswerAllAt("p", 1);
      }
      fixture.Write(id);
      while (fixture.FirstUnansweredAt("p")->m_verb == MemberVerb::kSetValue) {
        fixture.CompleteAt("p", kNone, 1);
      }
      const std::size_t answers = fixture.CountAnswers(id);
      fixture.AnswerAt("p", Refused{ErrorCode::kBusy, "-"}, kNone, 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, answers,
                                   fixture.CountAnswers(id));
      fixture.Advance(50ms);
      fixture.AnswerAllAt("p", 1);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, fixture.Succeeded(id));
    }
  }

  void ReadWhoseValuesAreNotAnsweredIsRetriedSpeculatively() {
    EngineFixture fixture;
    // Each statement adds a fraction to the budget of speculative retries.
    for (int i = 0; i < 30; ++i) {
      const SessionId id = fixture.Open("strict");
      fixture.Read(id);
      fixture.AnswerAllAt("p", 7);
    }
    fixture.Advance(300ms);
    const SessionId id = fixture.Open("bounded");
    fixture.SetValue(id, "v", "1");
    fixture.Read(id);
    fixture.OpenConnections();
    fixture.Advance(300ms);
    fixture.OpenConnections();
    std::size_t tried = 0;
    for (const char* member : {"p", "r1", "r2"}) {
      tried += fixture.CountUnansweredAt(member);
    }
    CPPUNIT_ASSERT(tried >= 2);
  }

  // The values of a session that has ended are answered.
  void CallerThatLeavesReleasesTheConnection() {
    EngineFixture fixture;
    const SessionId id = OpenWithValues(&fixture, 1);
    fixture.Write(id);
    fixture.OpenConnections();
    fixture.m_engine.OnSessionEnd(id, fixture.m_now);
    fixture.AnswerAllAt("p", 1);
    const FakeConnection& connection = fixture.m_connections.begin()->second;
    CPPUNIT_ASSERT(!connection.m_closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, connection.m_all.size());
    const SessionId next = fixture.Open("strict");
    fixture.Read(next);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(next));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_connections.size());
  }

 private:
  // Lets a member answer on its own account.
  static void Deliver(EngineFixture* fixture,
                      ConnectionId connection,
                      const Answer& answer) {
    fixture->m_engine.OnMemberAnswer(connection, answer, fixture->m_now);
  }

  static SessionId OpenWithValues(EngineFixture* fixture, int values) {
    const SessionId id = fixture->Open("strict");
    for (int i = 0; i < values; ++i) {
      fixture->SetValue(id, "v" + std::to_string(i), "1");
    }
    return id;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberValuesTest);

}  // namespace
}  // namespace jasminelug::gateway
