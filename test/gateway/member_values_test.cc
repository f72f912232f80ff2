#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

constexpr TransactionState kNone = TransactionState::kNone;

// Load pattern: sessions with values, whose connections are shared, at members
// that refuse some values and answer some statements twice.
class MemberValuesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberValuesTest);
  CPPUNIT_TEST(StatementAwaitsTheSessionsValues);
  CPPUNIT_TEST(StatementDoesNotRunWithoutItsValues);
  CPPUNIT_TEST(LateErrorOfAValueDoesNotPromiseThatAWriteDidNotRun);
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
    for (const ErrorCode code :
         {ErrorCode::kBusy, ErrorCode::kFailed, ErrorCode::kMalformed}) {
      EngineFixture fixture;
      const SessionId id = OpenWithValues(&fixture, 1);
      fixture.Write(id);
      fixture.AnswerAt("p", Refused{code, "-"}, kNone, 1);
      const FakeConnection& refused = fixture.m_connections.begin()->second;
      CPPUNIT_ASSERT(refused.m_closed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.m_all.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountAnswers(id) - 1);
      fixture.AnswerAllAt("p", 1);
      CPPUNIT_ASSERT(fixture.Succeeded(id));
    }
  }

  // The answer to the first value came twice and was taken for the one to the
  // second. The refusal of the second was taken for the write's, which ran.
  void LateErrorOfAValueDoesNotPromiseThatAWriteDidNotRun() {
    struct Case {
      const char* m_name;
      StatementKind m_kind;
      // What the caller is told; nullopt if the statement is run again.
      std::optional<ErrorCode> m_expected;
    };
    const std::vector<Case> cases = {
        {"write", StatementKind::kWrite, ErrorCode::kInDoubt},
        {"read", StatementKind::kRead, std::nullopt}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = OpenWithValues(&fixture, 2);
      fixture.Send(id, row.m_kind, "text");
      fixture.CompleteAt("p", kNone, 1);
      const ConnectionId connection = fixture.m_connections.begin()->first;
      const Answer repeated{Completed{}, kNone, LogPosition{Term(1), 1}};
      fixture.m_engine.OnMemberAnswer(connection, repeated, fixture.m_now);
      const Answer late{Refused{ErrorCode::kBusy, "-"}, kNone,
                        LogPosition{Term(1), 1}};
      fixture.m_engine.OnMemberAnswer(connection, late, fixture.m_now);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             fixture.m_connections.at(connection).m_closed);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
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
