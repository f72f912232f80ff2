#include "platform/line_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "platform/line_reader.h"

namespace jasminelug::adapter {
namespace {

class LineWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineWriterTest);
  CPPUNIT_TEST(WritesOnlyWhatIsReadAsOneLine);
  CPPUNIT_TEST(LongestLineIsWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WritesOnlyWhatIsReadAsOneLine() {
    struct Case {
      std::string m_field;
      std::string m_last;
      bool m_is_written;
    };
    const std::vector<Case> cases = {
        {"a", "b", true},        {"a", "", true},      {"a", " b  c ", true},
        {"a\nb", "c", true},     {"a\r", "\nb", true}, {"a", "b\r", true},
        {"a", "\nb\r\r", true},  {"-", "-", true},     {"", "b", false},
        {"a b", "c", false},     {" ", "c", false},    {"a\r\nb", "c", false},
        {"a", "b\r\nc", false},  {"a", "\r\n", false}, {"a", "b\r\n", false},
        {"a", "b\r\r\n", false}, {"\r\n", "b", false}};
    for (const Case& test : cases) {
      const std::string name = "'" + test.m_field + "' '" + test.m_last + "'";
      const auto line =
          LineWriter("WORD").Add(test.m_field).AddLast(test.m_last).Finish();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, test.m_is_written, IsOk(line));
      if (!IsOk(line)) {
        CPPUNIT_ASSERT(!GetError(line).m_reason.empty());
        continue;
      }
      LineReader reader;
      reader.Append(GetValue(line) + "next\r\n");
      CPPUNIT_ASSERT_MESSAGE(
          name, reader.Next() == "WORD " + test.m_field + " " + test.m_last);
      CPPUNIT_ASSERT_MESSAGE(name, reader.Next() == "next");
    }
  }

  void LongestLineIsWritten() {
    const std::string longest(kMaxLineBytes - std::string("W ").size(), 'x');
    CPPUNIT_ASSERT(IsOk(LineWriter("W").AddLast(longest).Finish()));
    CPPUNIT_ASSERT(!IsOk(LineWriter("W").AddLast(longest + "x").Finish()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineWriterTest);

}  // namespace
}  // namespace jasminelug::adapter
