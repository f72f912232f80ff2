// Checks with random messages that what is written in the line protocol is read
// back as the same messages, however the bytes are split.
//
// Runs the seeds 1 to 200. LINES_SEEDS sets another number of seeds and
// LINES_FIRST_SEED the first one:
//
//   LINES_SEEDS=20000 build/test/platform_adapter/test_platform_adapter
//
// A failure names its seed.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/caller_lines.h"
#include "platform/line_reader.h"
#include "platform/line_writer.h"
#include "platform/member_answers.h"
#include "platform/member_statements.h"
#include "test/platform_adapter/random_lines.h"

namespace jasminelug::adapter {
namespace {

using gateway::MemberVerb;
using gateway::StatementKind;

constexpr std::uint64_t kSeedsInCi = 200;
// Number of messages for each seed and test.
constexpr int kMessages = 100;
// More than the gateway adds to a line, in bytes.
constexpr std::size_t kMaxGrowth = 100;

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Calls `check` for each seed.
void ForEachSeed(const std::function<void(std::uint64_t seed)>& check) {
  const std::uint64_t first = NumberFromEnvironment("LINES_FIRST_SEED", 1);
  const std::uint64_t count = NumberFromEnvironment("LINES_SEEDS", kSeedsInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    check(seed);
  }
}

std::string Name(std::uint64_t seed) {
  return "seed " + std::to_string(seed);
}

// Reads the lines of `parts`. Stops at a line that is too long.
std::vector<std::string> ReadLines(const std::vector<std::string>& parts) {
  LineReader reader;
  std::vector<std::string> lines;
  for (const std::string& part : parts) {
    reader.Append(part);
    while (const std::optional<std::string_view> line = reader.Next()) {
      lines.emplace_back(*line);
    }
  }
  return lines;
}

// Returns the statement in which a member would receive `statement` from a
// gateway that renames nothing.
gateway::MemberStatement AtMember(const gateway::Statement& statement) {
  gateway::MemberStatement out;
  out.m_id = statement.m_id;
  out.m_text = statement.m_text;
  out.m_name = statement.m_name;
  out.m_argument = statement.m_argument;
  out.m_prepared = statement.m_prepared;
  if (statement.m_kind == StatementKind::kExecute) {
    out.m_verb = MemberVerb::kExecute;
  } else if (statement.m_kind == StatementKind::kSetValue) {
    out.m_verb = MemberVerb::kSetValue;
  } else if (statement.m_kind == StatementKind::kPrepare) {
    out.m_verb = MemberVerb::kPrepare;
  }
  return out;
}

class RandomLinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomLinesTest);
  CPPUNIT_TEST(LinesDoNotDependOnHowTheBytesArrive);
  CPPUNIT_TEST(StatementsAreReadAsTheyWereSent);
  CPPUNIT_TEST(StatementsReachMembersAsTheyWereSent);
  CPPUNIT_TEST(AnswersAreReadAsTheyWereSent);
  CPPUNIT_TEST(AnswersOutOfOrderAreNotRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The bytes are arbitrary, with and without line ends.
  void LinesDoNotDependOnHowTheBytesArrive() {
    ForEachSeed([](std::uint64_t seed) {
      RandomLines random(seed);
      std::string bytes;
      for (int i = 0; i < kMessages; ++i) {
        bytes += random.LastField();
      }
      const std::vector<std::string> lines = ReadLines({bytes});
      CPPUNIT_ASSERT_MESSAGE(Name(seed),
                             lines == ReadLines(random.Split(bytes)));
      std::string joined;
      for (const std::string& line : lines) {
        CPPUNIT_ASSERT_MESSAGE(Name(seed),
                               line.find("\r\n") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(Name(seed), line.size() <= kMaxLineBytes);
        joined += line + "\r\n";
      }
      CPPUNIT_ASSERT_MESSAGE(Name(seed), bytes.starts_with(joined));
    });
  }

  void StatementsAreReadAsTheyWereSent() {
    ForEachSeed([](std::uint64_t seed) {
      RandomLines random(seed);
      std::string bytes;
      std::vector<gateway::Statement> sent;
      while (sent.size() < kMessages) {
        const gateway::Statement statement = random.Statement();
        const auto line = LineWriter("QUERY")
                              .Add(statement.m_id)
                              .AddLast(statement.m_text)
                              .Finish();
        if (IsOk(line)) {
          bytes += GetValue(line);
          sent.push_back(statement);
        }
      }
      const std::vector<std::string> lines = ReadLines(random.Split(bytes));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name(seed), sent.size(), lines.size());
      for (std::size_t i = 0; i < sent.size(); ++i) {
        CheckRead(seed, sent[i], lines[i]);
      }
    });
  }

  void StatementsReachMembersAsTheyWereSent() {
    ForEachSeed([](std::uint64_t seed) {
      RandomLines random(seed);
      std::string bytes;
      std::vector<gateway::Statement> sent;
      while (sent.size() < kMessages) {
        const gateway::Statement statement = random.Statement();
        const auto line = FormatMemberStatement(AtMember(statement));
        if (IsOk(line)) {
          bytes += GetValue(line);
          sent.push_back(statement);
        }
      }
      const std::vector<std::string> lines = ReadLines(random.Split(bytes));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name(seed), sent.size(), lines.size());
      for (std::size_t i = 0; i < sent.size(); ++i) {
        CheckRead(seed, sent[i], lines[i]);
      }
    });
  }

  void AnswersAreReadAsTheyWereSent() {
    ForEachSeed([](std::uint64_t seed) {
      RandomLines random(seed);
      std::string bytes;
      std::vector<gateway::Answer> sent;
      for (int i = 0; i < kMessages; ++i) {
        const gateway::Answer answer = random.Answer();
        bytes += FormatAnswer(answer);
        sent.push_back(answer);
      }
      MemberAnswerReader reader;
      std::size_t answers = 0;
      for (const std::string& line : ReadLines(random.Split(bytes))) {
        if (reader.Add(line) == AnswerLine::kEnd) {
          CPPUNIT_ASSERT_MESSAGE(Name(seed), answers < sent.size());
          CheckRead(seed, sent[answers], reader.TakeAnswer());
          answers += 1;
        }
        CPPUNIT_ASSERT_MESSAGE(Name(seed) + ": " + reader.failure(),
                               !reader.failed());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name(seed), sent.size(), answers);
    });
  }

  // Reads lines in random order. Only the answers before the first line that is
  // out of place are read. One READY between two answers is no answer.
  void AnswersOutOfOrderAreNotRead() {
    ForEachSeed([](std::uint64_t seed) {
      RandomLines random(seed);
      const std::vector<std::string> lines = {"ROW a", "ROW COMPLETE x",
                                              "COMPLETE x", "ERROR BUSY -",
                                              "READY I 3.1"};
      MemberAnswerReader reader;
      bool has_result = false;
      bool has_rows = false;
      bool start_repeated = false;
      bool in_order = true;
      for (int i = 0; i < kMessages; ++i) {
        const std::string& line = lines.at(random.Number(lines.size() - 1));
        const bool ends = line.starts_with("READY");
        const bool is_result =
            line.starts_with("COMPLETE") || line.starts_with("ERROR");
        const bool repeats_start =
            in_order && ends && !has_result && !has_rows && !start_repeated;
        start_repeated |= repeats_start;
        in_order &= has_result == ends || repeats_start;
        has_result |= is_result;
        has_rows |= !is_result && !ends;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name(seed),
                                     in_order && ends && !repeats_start,
                                     reader.Add(line) == AnswerLine::kEnd);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name(seed), !in_order, reader.failed());
        has_result &= !ends;
        has_rows &= !ends && !is_result;
      }
    });
  }

 private:
  // Checks that `line` is read as the statement `sent`. Only a statement that
  // could become too long on its way to a member may be malformed.
  static void CheckRead(std::uint64_t seed,
                        const gateway::Statement& sent,
                        const std::string& line) {
    const CallerMessage message = ParseCallerLine(line);
    const auto* read = std::get_if<gateway::Statement>(&message);
    CPPUNIT_ASSERT_MESSAGE(Name(seed), read);
    gateway::Statement expected = sent;
    if (line.size() > kMaxLineBytes - kMaxGrowth) {
      expected.m_kind = read->m_kind;
    }
    CPPUNIT_ASSERT_MESSAGE(Name(seed) + ": " + line, expected == *read);
  }

  static void CheckRead(std::uint64_t seed,
                        const gateway::Answer& sent,
                        const gateway::Answer& read) {
    CPPUNIT_ASSERT_MESSAGE(Name(seed), sent.m_state == read.m_state);
    CPPUNIT_ASSERT_MESSAGE(Name(seed), sent.m_position == read.m_position);
    if (sent.m_outcome == read.m_outcome) {
      return;
    }
    // Something in the answer could not be written.
    const auto* refused = std::get_if<gateway::Refused>(&read.m_outcome);
    CPPUNIT_ASSERT_MESSAGE(Name(seed), refused);
    const auto* reason = std::get_if<gateway::Refused>(&sent.m_outcome);
    if (reason) {
      const std::string line = "ERROR INDOUBT " + reason->m_message;
      CPPUNIT_ASSERT_MESSAGE(
          Name(seed), reason->m_message.find("\r\n") != std::string::npos ||
                          line.size() > kMaxLineBytes - kMaxGrowth);
      CPPUNIT_ASSERT_MESSAGE(Name(seed), reason->m_code == refused->m_code);
    } else {
      CPPUNIT_ASSERT_MESSAGE(Name(seed), !CanBeWritten(sent));
      CPPUNIT_ASSERT_MESSAGE(Name(seed),
                             gateway::ErrorCode::kInDoubt == refused->m_code);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomLinesTest);

}  // namespace
}  // namespace jasminelug::adapter
