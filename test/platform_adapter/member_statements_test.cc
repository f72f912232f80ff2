#include "platform/member_statements.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace jasminelug::adapter {
namespace {

class MemberStatementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberStatementsTest);
  CPPUNIT_TEST(WritesMemberStatements);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WritesMemberStatements() {
    gateway::MemberStatement read;
    read.m_id = "5c0e";
    read.m_text = "READ 1a4";
    read.m_after = gateway::LogPosition{gateway::Term(3), 1207};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"),
                         GetValue(FormatMemberStatement(read)));
    struct Case {
      gateway::MemberVerb m_verb;
      const char* m_line;
    };
    const std::vector<Case> cases = {
        {gateway::MemberVerb::kReset, "QUERY - RESET\r\n"},
        {gateway::MemberVerb::kBegin, "QUERY - BEGIN\r\n"},
        {gateway::MemberVerb::kBeginReadOnly, "QUERY - BEGIN READ\r\n"},
        {gateway::MemberVerb::kStatus, "QUERY - STATUS\r\n"},
        {gateway::MemberVerb::kStepDown, "QUERY - STEPDOWN 4\r\n"},
        {gateway::MemberVerb::kSetValue, "QUERY - SET n a\r\n"},
        {gateway::MemberVerb::kPrepare, "QUERY - PREPARE n WRITE q2c\r\n"},
        {gateway::MemberVerb::kExecute, "QUERY - EXECUTE n a\r\n"}};
    for (const Case& row : cases) {
      gateway::MemberStatement statement;
      statement.m_verb = row.m_verb;
      statement.m_name = "n";
      statement.m_argument = "a";
      statement.m_prepared = {gateway::Access::kWrite, "q2c"};
      statement.m_term = gateway::Term(4);
      CPPUNIT_ASSERT_EQUAL(std::string(row.m_line),
                           GetValue(FormatMemberStatement(statement)));
    }
    gateway::Member member;
    member.m_id = gateway::MemberId("i-7f3a");
    member.m_group = gateway::GroupName("huvo11a");
    CPPUNIT_ASSERT_EQUAL(
        std::string("START huvo11a tenant i-7f3a\r\n"),
        GetValue(FormatMemberStart(member, gateway::CustomerName("tenant"))));
    for (const char* name : {" ", "a b", "a\r\nb"}) {
      CPPUNIT_ASSERT(
          !IsOk(FormatMemberStart(member, gateway::CustomerName(name))));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberStatementsTest);

}  // namespace
}  // namespace jasminelug::adapter
