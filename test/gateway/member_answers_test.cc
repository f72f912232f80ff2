#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

constexpr TransactionState kNone = TransactionState::kNone;
constexpr TransactionState kOpen = TransactionState::kOpen;
constexpr TransactionState kFailed = TransactionState::kFailed;

Answer MakeAnswer(const Outcome& outcome, TransactionState state = kNone) {
  return {outcome, state, LogPosition{Term(1), 1}};
}

// Load pattern: members that answer a statement twice, the second time late,
// while callers' statements follow each other on few connections.
class MemberAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberAnswersTest);
  CPPUNIT_TEST(RepeatedAnswerDoesNotAnswerTheNextStatement);
  CPPUNIT_TEST(RepeatedAnswerDoesNotReachAnotherCaller);
  CPPUNIT_TEST(RepeatedAnswerToNothingIsIgnored);
  CPPUNIT_TEST(RepeatedErrorDoesNotAnswerAnotherStatement);
  CPPUNIT_TEST(RepeatedStatusDoesNotAnswerTheNextRequest);
  CPPUNIT_TEST(UnexpectedAnswerIsNotBelieved);
  CPPUNIT_TEST(RepeatedPlainAnswerDoesNotAnswerAStatement);
  CPPUNIT_TEST(RepeatedPlainAnswerDoesNotOpenATransaction);
  CPPUNIT_TEST(RepeatedBeginDoesNotOpenAnotherTransaction);
  CPPUNIT_TEST(ConnectionIsReplacedBeforeASignatureIsForgotten);
  CPPUNIT_TEST(UnexpectedAnswersAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A read got the rows of the read before it on the same connection.
  void RepeatedAnswerDoesNotAnswerTheNextStatement() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const ConnectionId connection = ReadOnce(&fixture, id, "first");
    fixture.Read(id);
    Deliver(&fixture, connection, MakeAnswer(Completed{{"first"}, "first"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountAnswers(id));
    fixture.AnswerAt("p", Completed{{"second"}, "second"}, kNone, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.CountAnswers(id));
    CPPUNIT_ASSERT((Completed{{"second"}, "second"}) ==
                   std::get<Completed>(fixture.LastAnswer(id)->m_outcome));
  }

  // A connection whose answers were off by one stayed so for all later callers.
  void RepeatedAnswerDoesNotReachAnotherCaller() {
    EngineFixture fixture;
    const SessionId reader = fixture.Open("strict");
    const SessionId writer = fixture.Open("strict");
    const ConnectionId connection = ReadOnce(&fixture, reader, "read");
    fixture.Write(writer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_connections.size());
    Deliver(&fixture, connection, MakeAnswer(Completed{{"read"}, "read"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.CountAnswers(writer));
    fixture.AnswerAt("p", Completed{{}, "write"}, kNone, 2);
    CPPUNIT_ASSERT((Completed{{}, "write"}) ==
                   std::get<Completed>(fixture.LastAnswer(writer)->m_outcome));
  }

  void RepeatedAnswerToNothingIsIgnored() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const ConnectionId connection = ReadOnce(&fixture, id, "first");
    Deliver(&fixture, connection, MakeAnswer(Completed{{"first"}, "first"}));
    Deliver(&fixture, connection, MakeAnswer(Completed{}));
    CPPUNIT_ASSERT(!fixture.m_connections.at(connection).m_closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.CountAnswers(id));
  }

  // A write was told "not run" by the error of the statement before it, and ran
  // all the same.
  void RepeatedErrorDoesNotAnswerAnotherStatement() {
    struct Case {
      const char* m_name;
      ErrorCode m_code;
    };
    const std::vector<Case> cases = {{"busy", ErrorCode::kBusy},
                                     {"read-only", ErrorCode::kReadOnly},
                                     {"failed", ErrorCode::kFailed},
                                     {"timeout", ErrorCode::kTimeout},
                                     {"malformed", ErrorCode::kMalformed}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = fixture.Open("strict");
      fixture.Write(id);
      fixture.OpenConnections();
      const ConnectionId connection = fixture.m_connections.begin()->first;
      fixture.AnswerAt("p", Refused{row.m_code, "-"}, kNone, 1);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             fixture.m_connections.at(connection).m_closed);
    }
  }

  // An instance may act on the role, term and position in a member's status.
  void RepeatedStatusDoesNotAnswerTheNextRequest() {
    EngineFixture fixture;
    fixture.m_engine.RequestStatus(MemberId("p"), fixture.m_now);
    fixture.OpenConnections();
    const ConnectionId connection = fixture.m_connections.begin()->first;
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.m_statuses.contains(MemberId("p")));
    CPPUNIT_ASSERT(fixture.m_connections.at(connection).m_closed);
  }

  void UnexpectedAnswerIsNotBelieved() {
    struct Case {
      const char* m_name;
      StatementKind m_kind;
      Answer m_answer;
      // What the caller is told; nullopt if the statement is run again.
      std::optional<ErrorCode> m_expected;
    };
    const std::vector<Case> cases = {
        {"read without a signature", StatementKind::kRead,
         MakeAnswer(Completed{{"row"}, ""}), std::nullopt},
        {"read that left a transaction open", StatementKind::kRead,
         MakeAnswer(Completed{{"row"}, "new"}, kOpen), std::nullopt},
        {"read in a failed transaction", StatementKind::kRead,
         MakeAnswer(Completed{{"row"}, "new"}, kFailed), std::nullopt},
        {"write without a signature", StatementKind::kWrite,
         MakeAnswer(Completed{{"row"}, ""}), ErrorCode::kInDoubt},
        {"write that left a transaction open", StatementKind::kWrite,
         MakeAnswer(Completed{{}, "new"}, kOpen), ErrorCode::kInDoubt},
    };
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = fixture.Open("strict");
      fixture.Send(id, row.m_kind, "text");
      fixture.OpenConnections();
      const ConnectionId connection = fixture.m_connections.begin()->first;
      Deliver(&fixture, connection, row.m_answer);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             fixture.m_connections.at(connection).m_closed);
      CPPUNIT_ASSERT_MESSAGE(row.m_name,
                             row.m_expected == fixture.LastError(id));
      if (!row.m_expected) {
        fixture.AnswerAllAt("p", 1);
        CPPUNIT_ASSERT_MESSAGE(row.m_name, fixture.Succeeded(id));
      }
    }
  }

  // A write was told success by the repeated answer to its BEGIN. It is not in
  // doubt either: its own answer follows.
  void RepeatedPlainAnswerDoesNotAnswerAStatement() {
    struct Case {
      const char* m_name;
      bool m_in_transaction;
      TransactionState m_state;
    };
    const std::vector<Case> cases = {
        {"BEGIN, before a statement of the transaction", true, kOpen},
        {"SET before BEGIN, before a statement of the transaction", true,
         kNone},
        {"SET, before a single write", false, kNone},
        {"BEGIN, before a single write", false, kOpen}};
    for (const Case& row : cases) {
      EngineFixture fixture;
      const SessionId id = fixture.Open("strict");
      if (row.m_in_transaction) {
        fixture.Send(id, StatementKind::kBegin, "BEGIN");
      }
      fixture.Write(id);
      if (row.m_in_transaction) {
        fixture.CompleteAt("p", kOpen, 1);
      }
      fixture.OpenConnections();
      const ConnectionId connection = fixture.m_connections.begin()->first;
      const std::size_t answers = fixture.CountAnswers(id);
      Deliver(&fixture, connection, MakeAnswer(Completed{}, row.m_state));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, answers,
                                   fixture.CountAnswers(id));
      fixture.AnswerAllAt("p", 1);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, fixture.Succeeded(id));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, std::size_t{1},
                                   fixture.m_connections.size());
    }
  }

  // Statements were sent although the member had not opened the transaction.
  void RepeatedPlainAnswerDoesNotOpenATransaction() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const ConnectionId connection = ReadOnce(&fixture, id, "first");
    fixture.Send(id, StatementKind::kBegin, "BEGIN");
    fixture.Write(id);
    // The answer to an earlier SET comes again.
    Deliver(&fixture, connection, MakeAnswer(Completed{}, kNone));
    CPPUNIT_ASSERT(fixture.m_connections.at(connection).m_closed);
    CPPUNIT_ASSERT(MemberVerb::kBegin ==
                   fixture.m_connections.at(connection).m_all.back().m_verb);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
  }

  // A statement ran outside its transaction, whose BEGIN the member had
  // refused: the answer to an earlier BEGIN on the connection came again.
  void RepeatedBeginDoesNotOpenAnotherTransaction() {
    for (const StatementKind end :
         {StatementKind::kCommit, StatementKind::kRollback}) {
      EngineFixture fixture;
      const SessionId id = fixture.Open("strict");
      fixture.Send(id, StatementKind::kBegin, "BEGIN");
      fixture.Write(id);
      fixture.AnswerAllAt("p", 1);
      const ConnectionId connection = fixture.m_connections.begin()->first;
      CPPUNIT_ASSERT(!fixture.m_connections.at(connection).m_closed);
      fixture.Send(id, end,
                   end == StatementKind::kCommit ? "COMMIT" : "ROLLBACK");
      fixture.AnswerAllAt("p", 1);
      CPPUNIT_ASSERT(fixture.Succeeded(id));
      CPPUNIT_ASSERT(fixture.m_connections.at(connection).m_closed);
      fixture.Send(id, StatementKind::kBegin, "BEGIN");
      fixture.Write(id);
      fixture.AnswerAllAt("p", 2);
      CPPUNIT_ASSERT(fixture.Succeeded(id));
    }
  }

  void ConnectionIsReplacedBeforeASignatureIsForgotten() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const ConnectionId connection = ReadOnce(&fixture, id, "first");
    for (std::size_t i = 1; i < SignatureHistory::kCapacity; ++i) {
      CPPUNIT_ASSERT(!fixture.m_connections.at(connection).m_closed);
      fixture.Read(id);
      fixture.AnswerAllAt("p", 1);
    }
    CPPUNIT_ASSERT(fixture.m_connections.at(connection).m_closed);
    fixture.Read(id);
    fixture.AnswerAllAt("p", 1);
    CPPUNIT_ASSERT(fixture.Succeeded(id));
  }

  void UnexpectedAnswersAreReported() {
    EngineFixture fixture;
    const SessionId id = fixture.Open("strict");
    const ConnectionId connection = ReadOnce(&fixture, id, "first");
    Deliver(&fixture, connection, MakeAnswer(Completed{{"first"}, "first"}));
    Deliver(&fixture, connection, MakeAnswer(Refused{}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.m_unexpected.size());
    UnexpectedAnswer expected;
    expected.m_member = MemberId("p");
    expected.m_connection = connection;
    expected.m_answers_before = 1;
    expected.m_fit = AnswerFit::kRepeated;
    expected.m_signature = "first";
    expected.m_rows = 1;
    CPPUNIT_ASSERT(expected == fixture.m_unexpected[0]);
    CPPUNIT_ASSERT(AnswerFit::kUnfitting == fixture.m_unexpected[1].m_fit);
    CPPUNIT_ASSERT(ErrorCode::kFailed == fixture.m_unexpected[1].m_error);
  }

 private:
  // Runs a read whose only row and signature are `text`. Returns the connection
  // that it ran on.
  static ConnectionId ReadOnce(EngineFixture* fixture,
                               SessionId id,
                               const std::string& text) {
    fixture->Read(id);
    fixture->AnswerAt("p", Completed{{text}, text}, kNone, 1);
    CPPUNIT_ASSERT(fixture->Succeeded(id));
    return fixture->m_connections.begin()->first;
  }

  // Lets a member answer on its own account.
  static void Deliver(EngineFixture* fixture,
                      ConnectionId connection,
                      const Answer& answer) {
    fixture->m_engine.OnMemberAnswer(connection, answer, fixture->m_now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberAnswersTest);

}  // namespace
}  // namespace jasminelug::gateway
