#include "platform/statement_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "platform/member_statements.h"
#include "test/gateway/engine_fixture.h"

namespace jasminelug::adapter {
namespace {

using gateway::ForwardedStatement;
using gateway::StatementKind;

struct Case {
  std::string m_name;
  std::function<void(ForwardedStatement*)> m_change;
  bool m_is_writable;
};

ForwardedStatement MakeExecution() {
  ForwardedStatement forwarded;
  forwarded.m_customer = gateway::CustomerName("a");
  forwarded.m_route.m_group = gateway::EngineFixture::Group();
  forwarded.m_route.m_statement_timeout = std::chrono::milliseconds(900);
  forwarded.m_route.m_objective = std::chrono::milliseconds(400);
  forwarded.m_statement.m_id = "q1";
  forwarded.m_statement.m_kind = StatementKind::kExecute;
  forwarded.m_statement.m_name = "s1";
  forwarded.m_statement.m_argument = "x y";
  forwarded.m_statement.m_prepared = {gateway::Access::kWrite, "q"};
  forwarded.m_values = {{"zone", "north and south"}};
  return forwarded;
}

void MakeWrite(ForwardedStatement* forwarded, const std::string& text) {
  forwarded->m_statement.m_kind = StatementKind::kWrite;
  forwarded->m_statement.m_text = text;
}

const std::string too_long(std::size_t{1} << 20, 'x');

const std::vector<Case> cases = {
    {"an execution", [](ForwardedStatement*) {}, true},
    {"a write",
     [](ForwardedStatement* forwarded) { MakeWrite(forwarded, "WRITE x y"); },
     true},
    {"an empty value",
     [](ForwardedStatement* forwarded) { forwarded->m_values["zone"] = ""; },
     true},
    {"no customer",
     [](ForwardedStatement* forwarded) { forwarded->m_customer = {}; }, true},
    {"a line feed in a field",
     [](ForwardedStatement* forwarded) {
       forwarded->m_statement.m_argument = "x \n";
     },
     true},
    {"no id",
     [](ForwardedStatement* forwarded) { forwarded->m_statement.m_id = ""; },
     false},
    {"an id of two fields",
     [](ForwardedStatement* forwarded) { forwarded->m_statement.m_id = "q 1"; },
     false},
    {"a line end in the text",
     [](ForwardedStatement* forwarded) {
       MakeWrite(forwarded, "WRITE x y\r\nQUERY 2 WRITE x z");
     },
     false},
    {"a text that is too long",
     [](ForwardedStatement* forwarded) {
       MakeWrite(forwarded, "WRITE x " + too_long);
     },
     false},
    {"a line end in the argument",
     [](ForwardedStatement* forwarded) {
       forwarded->m_statement.m_argument = "x \r\n";
     },
     false},
    {"a line end in the prepared statement",
     [](ForwardedStatement* forwarded) {
       forwarded->m_statement.m_prepared.m_shape = "\r\n";
     },
     false},
    {"a value without a name",
     [](ForwardedStatement* forwarded) {
       forwarded->m_values = {{"", "v"}};
     },
     false},
    {"the name of a value with a blank",
     [](ForwardedStatement* forwarded) {
       forwarded->m_values = {{"a b", "v"}};
     },
     false},
    {"a line end in a value",
     [](ForwardedStatement* forwarded) {
       forwarded->m_values["zone"] = "a\r\nb";
     },
     false},
    {"a customer with a blank",
     [](ForwardedStatement* forwarded) {
       forwarded->m_customer = gateway::CustomerName("a b");
     },
     false}};

class StatementCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementCheckTest);
  CPPUNIT_TEST(ForwardedStatementThatCannotBeWrittenIsFound);
  CPPUNIT_TEST(ForwardedStatementIsWrittenOrRefusedAsMalformed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ForwardedStatementThatCannotBeWrittenIsFound() {
    for (const Case& row : cases) {
      ForwardedStatement forwarded = MakeExecution();
      row.m_change(&forwarded);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_is_writable,
                                   !FindUnwritable(forwarded).has_value());
    }
  }

  // The connection to the member was given up, and the caller of a write was
  // told that its outcome is unknown.
  void ForwardedStatementIsWrittenOrRefusedAsMalformed() {
    for (const Case& row : cases) {
      ForwardedStatement forwarded = MakeExecution();
      row.m_change(&forwarded);
      gateway::EngineFixture holder("h1");
      const gateway::SessionId id(1);
      holder.m_engine.OnForwardedStatement(id, WithoutUnwritable(forwarded),
                                           holder.m_now);
      holder.AnswerAllAt("p", 1);
      CheckLines(row, holder);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_is_writable,
                                   holder.Succeeded(id));
      CPPUNIT_ASSERT_MESSAGE(
          row.m_name, row.m_is_writable || holder.LastError(id) ==
                                               gateway::ErrorCode::kMalformed);
    }
  }

 private:
  static ForwardedStatement WithoutUnwritable(ForwardedStatement forwarded) {
    if (FindUnwritable(forwarded)) {
      forwarded.m_statement.m_kind = StatementKind::kMalformed;
    }
    return forwarded;
  }

  static void CheckLines(const Case& row,
                         const gateway::EngineFixture& holder) {
    for (const auto& [id, connection] : holder.m_connections) {
      for (const gateway::MemberStatement& statement : connection.m_all) {
        CPPUNIT_ASSERT_MESSAGE(row.m_name,
                               IsOk(FormatMemberStatement(statement)));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementCheckTest);

}  // namespace
}  // namespace jasminelug::adapter
