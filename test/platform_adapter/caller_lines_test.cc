#include "platform/caller_lines.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

#include "platform/line_reader.h"

namespace jasminelug::adapter {
namespace {

using gateway::StatementKind;

class CallerLinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerLinesTest);
  CPPUNIT_TEST(ReadsStatements);
  CPPUNIT_TEST(ReadsSessionMessages);
  CPPUNIT_TEST(WritesAnswers);
  CPPUNIT_TEST(ReplacesAnswersThatCannotBeWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsStatements() {
    struct Case {
      const char* m_text;
      StatementKind m_kind;
      const char* m_name;
      const char* m_argument;
    };
    const std::vector<Case> cases = {
        {"READ 1a4", StatementKind::kRead, "", ""},
        {"READ", StatementKind::kMalformed, "", ""},
        {"WRITE 1a4 some data", StatementKind::kWrite, "", ""},
        {"BEGIN", StatementKind::kBegin, "", ""},
        {"BEGIN READ", StatementKind::kBeginReadOnly, "", ""},
        {"BEGIN WRITE", StatementKind::kMalformed, "", ""},
        {"COMMIT", StatementKind::kCommit, "", ""},
        {"COMMIT now", StatementKind::kMalformed, "", ""},
        {"ROLLBACK", StatementKind::kRollback, "", ""},
        {"SET zone north east", StatementKind::kSetValue, "zone", "north east"},
        {"SET", StatementKind::kMalformed, "", ""},
        {"PREPARE s1 WRITE q2c", StatementKind::kPrepare, "s1", ""},
        {"PREPARE s1 CALL q2c", StatementKind::kMalformed, "", ""},
        {"PREPARE s1 READ", StatementKind::kMalformed, "", ""},
        {"SET zone ", StatementKind::kSetValue, "zone", ""},
        {"EXECUTE s1", StatementKind::kMalformed, "s1", ""},
        {"RELEASE s1 x", StatementKind::kMalformed, "s1 x", ""},
        {"EXECUTE s1 1a4 data", StatementKind::kExecute, "s1", "1a4 data"},
        {"RELEASE s1", StatementKind::kRelease, "s1", ""},
        {"AFTER 3.1 READ 1a4", StatementKind::kMalformed, "", ""},
        {"read 1a4", StatementKind::kMalformed, "", ""}};
    for (const Case& row : cases) {
      const CallerMessage message =
          ParseCallerLine("QUERY 5c0e " + std::string(row.m_text));
      const auto* statement = std::get_if<gateway::Statement>(&message);
      CPPUNIT_ASSERT_MESSAGE(row.m_text, statement);
      CPPUNIT_ASSERT_MESSAGE(row.m_text, row.m_kind == statement->m_kind);
      CPPUNIT_ASSERT_EQUAL(std::string(row.m_name), statement->m_name);
      CPPUNIT_ASSERT_EQUAL(std::string(row.m_argument), statement->m_argument);
      CPPUNIT_ASSERT_EQUAL(std::string("5c0e"), statement->m_id);
      CPPUNIT_ASSERT_EQUAL(std::string(row.m_text), statement->m_text);
    }
  }

  void ReadsSessionMessages() {
    const CallerMessage start = ParseCallerLine("START lepu270 u3f1");
    CPPUNIT_ASSERT((SessionStart{gateway::DatabaseName("lepu270"),
                                 gateway::CallerKey("u3f1")}) ==
                   std::get<SessionStart>(start));
    const CallerMessage open = ParseCallerLine("START lepu270");
    CPPUNIT_ASSERT(std::get<SessionStart>(open).m_key.empty());
    CPPUNIT_ASSERT(std::holds_alternative<SessionEnd>(ParseCallerLine("TERM")));
    for (const char* line :
         {"", "START", "QUERY", "QUERY 5c0e", "HELLO", " "}) {
      CPPUNIT_ASSERT_MESSAGE(
          line, std::holds_alternative<UnreadableLine>(ParseCallerLine(line)));
    }
  }

  void WritesAnswers() {
    gateway::Answer answer;
    answer.m_outcome = gateway::Completed{{"r"}, "7.1"};
    CPPUNIT_ASSERT_EQUAL(std::string("ROW r\r\nCOMPLETE 7.1\r\nREADY I -\r\n"),
                         FormatAnswer(answer));
    answer.m_outcome = gateway::Refused{gateway::ErrorCode::kBusy, "full"};
    answer.m_state = gateway::TransactionState::kFailed;
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR BUSY full\r\nREADY E -\r\n"),
                         FormatAnswer(answer));
    CPPUNIT_ASSERT_EQUAL(
        std::string("ERROR NOAUTH unknown key\r\n"),
        FormatSessionRefused(
            {gateway::ErrorCode::kUnauthorized, "unknown key"}));
  }

  // A row must not end the answer early or start another one. Rows that a
  // member has sent never do.
  void ReplacesAnswersThatCannotBeWritten() {
    const std::string too_long(kMaxLineBytes, 'x');
    for (const std::string& text :
         {std::string("a\r\nCOMPLETE x\r\nREADY I -"), too_long}) {
      const std::vector<gateway::Completed> cases = {{{"a", text, "b"}, "s"},
                                                     {{"a"}, text}};
      for (const gateway::Completed& completed : cases) {
        const gateway::Answer answer{completed, {}, {}};
        CPPUNIT_ASSERT(!CanBeWritten(answer));
        CPPUNIT_ASSERT_EQUAL(
            std::string("ERROR INDOUBT the member's answer cannot be sent\r\n"
                        "READY I -\r\n"),
            FormatAnswer(answer));
      }
      const gateway::Answer refusal{
          gateway::Refused{gateway::ErrorCode::kBusy, text}, {}, {}};
      CPPUNIT_ASSERT_EQUAL(
          std::string("ERROR BUSY the reason cannot be sent\r\nREADY I -\r\n"),
          FormatAnswer(refusal));
    }
    const gateway::Answer longest{
        gateway::Completed{{too_long.substr(std::string_view("ROW ").size())},
                           ""},
        {},
        {}};
    CPPUNIT_ASSERT(CanBeWritten(longest));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLinesTest);

}  // namespace
}  // namespace jasminelug::adapter
