#include "platform/member_answers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jasminelug::adapter {
namespace {

class MemberAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberAnswersTest);
  CPPUNIT_TEST(ReadsMemberAnswers);
  CPPUNIT_TEST(ReadsOnlyAnswersInTheOrderOfTheProtocol);
  CPPUNIT_TEST(UnreadableAnswerIsNeverCompleted);
  CPPUNIT_TEST(RepeatedStartIsNoAnswer);
  CPPUNIT_TEST(ReadsStatus);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsMemberAnswers() {
    MemberAnswerReader reader;
    CPPUNIT_ASSERT(AnswerLine::kPart == reader.Add("ROW a b"));
    CPPUNIT_ASSERT(AnswerLine::kPart == reader.Add("ROW c"));
    CPPUNIT_ASSERT(AnswerLine::kPart == reader.Add("COMPLETE 7.1f3"));
    CPPUNIT_ASSERT(AnswerLine::kEnd == reader.Add("READY T 3.1209"));
    const gateway::Answer answer = reader.TakeAnswer();
    CPPUNIT_ASSERT((gateway::Completed{{"a b", "c"}, "7.1f3"}) ==
                   std::get<gateway::Completed>(answer.m_outcome));
    CPPUNIT_ASSERT(gateway::TransactionState::kOpen == answer.m_state);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1209}, answer.m_position->m_index);
    // Rows that precede an error are not part of a result.
    reader.Add("ROW a");
    reader.Add("ERROR READONLY i-7f3a is no primary");
    CPPUNIT_ASSERT(AnswerLine::kEnd == reader.Add("READY E -"));
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
        {"no result in a transaction", {"READY T 3.1"}, 0},
        {"no result, twice", {"READY I 3.1", "READY I 3.1"}, 1},
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
        const AnswerLine added = reader.Add(test.m_lines[i]);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.m_name, last && !test.m_unreadable,
                                     added == AnswerLine::kEnd);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.m_name, test.m_unreadable == i,
                                     reader.failed());
      }
    }
  }

  void UnreadableAnswerIsNeverCompleted() {
    MemberAnswerReader reader;
    reader.Add("READY T 3.1");
    CPPUNIT_ASSERT(AnswerLine::kPart == reader.Add("COMPLETE x"));
    CPPUNIT_ASSERT(AnswerLine::kPart == reader.Add("READY I 3.1"));
    CPPUNIT_ASSERT(reader.failed());
  }

  // The repeated READY to START closed the connection, and a write in hand was
  // in doubt.
  void RepeatedStartIsNoAnswer() {
    const std::vector<std::string> answer = {"ROW a", "COMPLETE x",
                                             "READY I 3.2"};
    for (const std::size_t place : {std::size_t{0}, answer.size()}) {
      MemberAnswerReader reader;
      for (std::size_t i = 0; i <= answer.size(); ++i) {
        if (i == place) {
          CPPUNIT_ASSERT(AnswerLine::kRepeatedStart ==
                         reader.Add("READY I 3.1"));
        }
        if (i < answer.size()) {
          reader.Add(answer[i]);
        }
      }
      CPPUNIT_ASSERT(!reader.failed());
      CPPUNIT_ASSERT(
          (gateway::Completed{{"a"}, "x"}) ==
          std::get<gateway::Completed>(reader.TakeAnswer().m_outcome));
    }
  }

  void ReadsStatus() {
    const auto status = ParseMemberStatus("replica 3 3.1209 0 12 2 17");
    CPPUNIT_ASSERT(status);
    CPPUNIT_ASSERT(gateway::MemberRole::kReplica == status->m_role);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1209}, status->m_received.m_index);
    CPPUNIT_ASSERT(!ParseMemberStatus("leader 3 3.1209 0 12 2 17"));
    CPPUNIT_ASSERT(!ParseMemberStatus("replica"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberAnswersTest);

}  // namespace
}  // namespace jasminelug::adapter
