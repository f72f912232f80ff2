// Tests that a statement is answered once its time limit is over, whatever it
// waits for.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "test/gateway/engine_fixture.h"

namespace jasminelug::gateway {
namespace {

constexpr Duration kStatementTimeout = 1s;

// What the members and the other instances do, at once and in each step.
struct Case {
  std::string m_name;
  std::function<void(EngineFixture&)> m_first;
  std::function<void(EngineFixture&)> m_in_each_step;
};

void DoNothing(EngineFixture&) {}

void RefuseAllAsBusy(EngineFixture& fixture) {
  for (const char* member : {"p", "r1", "r2"}) {
    fixture.AnswerAt(member, Refused{ErrorCode::kBusy, ""},
                     TransactionState::kNone, 1);
  }
}

void LoseAll(EngineFixture& fixture) {
  for (const char* member : {"p", "r1", "r2"}) {
    fixture.LoseMember(member);
  }
}

// Confirms that the holders are running all that was forwarded to them.
void ConfirmAll(EngineFixture& fixture) {
  const auto forwarded = fixture.m_forwarded;
  for (const auto& [holder, message] : forwarded) {
    if (const auto* statement = std::get_if<ForwardedStatement>(&message)) {
      fixture.m_engine.OnForwardProgress(holder, {{statement->m_operation}},
                                         fixture.m_now);
    }
  }
}

const std::vector<Case> cases = {
    {"no connection opens", DoNothing, DoNothing},
    {"the first statement is unanswered",
     [](EngineFixture& fixture) { fixture.OpenConnections(); }, DoNothing},
    {"the one after it is unanswered",
     [](EngineFixture& fixture) {
       for (const char* member : {"p", "r1", "r2"}) {
         fixture.CompleteAt(member, TransactionState::kOpen, 1);
       }
     },
     DoNothing},
    {"members are busy", DoNothing, RefuseAllAsBusy},
    {"connections are lost", DoNothing, LoseAll}};

// Opens a transaction that only reads and sends its first read.
SessionId ReadInTransaction(EngineFixture& fixture,
                            const std::string& database) {
  const SessionId id = fixture.Open(database);
  fixture.SetValue(id, "zone", "north");
  fixture.Send(id, StatementKind::kBeginReadOnly, "BEGIN READ");
  fixture.Read(id);
  return id;
}

// Checks that the active statement is refused no later than one tick after its
// time limit.
void CheckEnd(const Case& row, EngineFixture& fixture, SessionId id) {
  const std::size_t before = fixture.CountAnswers(id);
  row.m_first(fixture);
  const Time end = fixture.m_now + kStatementTimeout + Engine::kTickInterval;
  while (fixture.m_now < end) {
    row.m_in_each_step(fixture);
    fixture.Advance(EngineFixture::kStep);
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, before + 1,
                               fixture.CountAnswers(id));
  CPPUNIT_ASSERT_MESSAGE(row.m_name, fixture.LastError(id).has_value());
  CPPUNIT_ASSERT_MESSAGE(row.m_name,
                         fixture.m_ends.back().m_time <=
                             kStatementTimeout + Engine::kTickInterval);
}

class StatementDeadlinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementDeadlinesTest);
  CPPUNIT_TEST(ReadInATransactionEndsInTime);
  CPPUNIT_TEST(ForwardedReadInATransactionEndsInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadInATransactionEndsInTime() {
    for (const char* database : {"strict", "bounded", "own"}) {
      for (const Case& row : cases) {
        EngineFixture fixture;
        CheckEnd(row, fixture, ReadInTransaction(fixture, database));
      }
    }
  }

  // A holder that confirms the statement without end is not waited for longer
  // than one that is silent.
  void ForwardedReadInATransactionEndsInTime() {
    const std::vector<Case> at_holders = {
        {"holders are silent", DoNothing, DoNothing},
        {"holders confirm", DoNothing, ConfirmAll}};
    for (const Case& row : at_holders) {
      EngineFixture fixture;
      InstanceEntry self = EngineFixture::Entry("self");
      self.m_processors = 0.1;
      fixture.m_engine.SetInstances(
          {self, EngineFixture::Entry("h1"), EngineFixture::Entry("h2")},
          fixture.m_now);
      const SessionId id = ReadInTransaction(fixture, "strict");
      CPPUNIT_ASSERT(!fixture.m_forwarded.empty());
      CheckEnd(row, fixture, id);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementDeadlinesTest);

}  // namespace
}  // namespace jasminelug::gateway
