#include "platform/wire_lines.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/line_reader.h"

namespace jasminelug::adapter {
namespace {

using gateway::StatementKind;

class WireLinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireLinesTest);
  CPPUNIT_TEST(ReadsStatements);
  CPPUNIT_TEST(ReadsSessionMessages);
  CPPUNIT_TEST(WritesMemberStatements);
  CPPUNIT_TEST(ReadsMemberAnswers);
  CPPUNIT_TEST(ReadsOnlyAnswersInTheOrderOfTheProtocol);
  CPPUNIT_TEST(UnreadableAnswerIsNeverCompleted);
  CPPUNIT_TEST(WritesAnswers);
  CPPUNIT_TEST(ReplacesAnswersThatCannotBeWritten);
  CPPUNIT_TEST(ReadsPositionsAndStatus);
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
        {gateway::MemberVerb::kRollback, "QUERY - ROLLBACK\r\n"},
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

  void ReadsMemberAnswers() {
    MemberAnswerReader reader;
    CPPUNIT_ASSERT(!reader.Add("ROW a b"));
    CPPUNIT_ASSERT(!reader.Add("ROW c"));
    CPPUNIT_ASSERT(!reader.Add("COMPLETE 7.1f3"));
    CPPUNIT_ASSERT(reader.Add("READY T 3.1209"));
    const gateway::Answer answer = reader.TakeAnswer();
    CPPUNIT_ASSERT((gateway::Completed{{"a b", "c"}, "7.1f3"}) ==
                   std::get<gateway::Completed>(answer.m_outcome));
    CPPUNIT_ASSERT(gateway::TransactionState::kOpen == answer.m_state);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1209}, answer.m_position->m_index);
    // Rows that precede an error are not part of a result.
    reader.Add("ROW a");
    reader.Add("ERROR READONLY i-7f3a is no primary");
    CPPUNIT_ASSERT(reader.Add("READY E -"));
    const gateway::Answer refusal = reader.TakeAnswer();
    const auto& refused = std::get<gateway::Refused>(refusal.m_outcome);
    CPPUNIT_ASSERT(gateway::ErrorCode::kReadOnly == refused.m_code);
    CPPUNIT_ASSERT(!refusal.m_position);
    reader.Add("ERROR SOMETHING new");
    reader.Add("READY I -");
    const gateway::Answer unknown = reader.TakeAnswer();
    CPPUNIT_ASSERT(gateway::ErrorCode::kFailed ==
                   std::get<gateway::Refused>(unknown.m_outcome).m_code);
  }

  // A second result replaced the first one and lost its rows, and an answer
  // without a result was a success without a signature.
  void ReadsOnlyAnswersInTheOrderOfTheProtocol() {
    struct Case {
      std::string m_name;
      std::vector<std::string> m_lines;
      // Number of the line that makes the answer unreadable, counted from 0;
      // unset if the last line completes the answer.
      std::optional<std::size_t> m_unreadable;
    };
    const std::vector<Case> cases = {
        {"no rows", {"COMPLETE x", "READY I 3.1"}, std::nullopt},
        {"rows", {"ROW a", "ROW b", "COMPLETE x", "READY I 3.1"}, std::nullopt},
        {"an empty row", {"ROW ", "COMPLETE x", "READY I 3.1"}, std::nullopt},
        {"an error", {"ERROR BUSY full", "READY I 3.1"}, std::nullopt},
        {"rows and an error",
         {"ROW a", "ERROR FAILED -", "READY E 3.1"},
         std::nullopt},
        {"an error without a text", {"ERROR BUSY", "READY I -"}, std::nullopt},
        {"a row like an answer",
         {"ROW READY I 3.1", "COMPLETE x", "READY I 3.1"},
         std::nullopt},
        {"an empty line", {""}, 0},
        {"an unknown word", {"HELLO"}, 0},
        {"a word in lower case", {"complete x"}, 0},
        {"a blank before the word", {" COMPLETE x"}, 0},
        {"a line feed before the word", {"\nCOMPLETE x"}, 0},
        {"no result", {"READY I 3.1"}, 0},
        {"rows without a result", {"ROW a", "READY I 3.1"}, 1},
        {"two results", {"ROW a", "COMPLETE x", "COMPLETE y"}, 2},
        {"an error after a result", {"COMPLETE x", "ERROR FAILED -"}, 1},
        {"a result after an error", {"ERROR FAILED -", "COMPLETE x"}, 1},
        {"two errors", {"ERROR BUSY -", "ERROR FAILED -"}, 1},
        {"a row after the result", {"COMPLETE x", "ROW a"}, 1},
        {"a row after an error", {"ERROR BUSY -", "ROW a"}, 1},
        {"no signature", {"COMPLETE"}, 0},
        {"an empty signature", {"COMPLETE "}, 0},
        {"no code", {"ERROR"}, 0},
        {"an empty code", {"ERROR  text"}, 0},
        {"no state", {"COMPLETE x", "READY"}, 1},
        {"an unknown state", {"COMPLETE x", "READY X 3.1"}, 1},
        {"no position", {"COMPLETE x", "READY I"}, 1},
        {"an unreadable position", {"COMPLETE x", "READY I 3"}, 1},
        {"text after the position", {"COMPLETE x", "READY I 3.1 -"}, 1}};
    for (const Case& test : cases) {
      MemberAnswerReader reader;
      for (std::size_t i = 0; i < test.m_lines.size(); ++i) {
        const bool last = i + 1 == test.m_lines.size();
        const bool complete = reader.Add(test.m_lines[i]);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.m_name, last && !test.m_unreadable,
                                     complete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.m_name, test.m_unreadable == i,
                                     reader.failed());
      }
    }
  }

  void UnreadableAnswerIsNeverCompleted() {
    MemberAnswerReader reader;
    reader.Add("READY I 3.1");
    CPPUNIT_ASSERT(!reader.Add("COMPLETE x"));
    CPPUNIT_ASSERT(!reader.Add("READY I 3.1"));
    CPPUNIT_ASSERT(reader.failed());
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

  void ReadsPositionsAndStatus() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1207}, ParsePosition("3.1207")->m_index);
    for (const char* text : {"-", "", "3", "3.", ".7", "a.b", "3.7x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParsePosition(text));
    }
    const auto status = ParseMemberStatus("replica 3 3.1209 0 12 2 17");
    CPPUNIT_ASSERT(status);
    CPPUNIT_ASSERT(gateway::MemberRole::kReplica == status->m_role);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1209}, status->m_received.m_index);
    CPPUNIT_ASSERT(!ParseMemberStatus("leader 3 3.1209 0 12 2 17"));
    CPPUNIT_ASSERT(!ParseMemberStatus("replica"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireLinesTest);

}  // namespace
}  // namespace jasminelug::adapter
