#include "platform/line_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelug::adapter {
namespace {

using Lines = std::vector<std::string>;

struct SplitCase {
  std::string_view m_name;
  std::string m_bytes;
  Lines m_lines;
};

const std::array<SplitCase, 11> split_cases = {{
    {"one line", "TERM\r\n", {"TERM"}},
    {"two lines", "a\r\nb\r\n", {"a", "b"}},
    {"an empty line", "\r\nb\r\n", {"", "b"}},
    {"an incomplete line", "a\r\nb", {"a"}},
    {"a line feed inside a field", "WRITE 1 a\nb\r\n", {"WRITE 1 a\nb"}},
    {"a line feed before what looks like a message",
     "WRITE 1 a\nQUERY 2 WRITE 3 b\r\n",
     {"WRITE 1 a\nQUERY 2 WRITE 3 b"}},
    {"a row that holds what looks like an answer",
     "ROW a\nCOMPLETE x\nREADY I 1.2\r\nCOMPLETE y\r\n",
     {"ROW a\nCOMPLETE x\nREADY I 1.2", "COMPLETE y"}},
    {"a carriage return inside a field", "a\rb\r\n", {"a\rb"}},
    {"a carriage return before the line end", "a\r\r\n", {"a\r"}},
    {"a line feed after the line end", "a\r\n\nb\r\n", {"a", "\nb"}},
    {"a NUL inside a field",
     std::string("a\0b\r\n", 5),
     {std::string("a\0b", 3)}},
}};

class LineReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineReaderTest);
  CPPUNIT_TEST(OnlyCarriageReturnLineFeedEndsALine);
  CPPUNIT_TEST(LinesDoNotDependOnHowTheBytesArrive);
  CPPUNIT_TEST(LongestLineIsRead);
  CPPUNIT_TEST(TooLongLineIsNeverReturned);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A statement was cut at a line feed and its rest run as another one.
  void OnlyCarriageReturnLineFeedEndsALine() {
    for (const SplitCase& test : split_cases) {
      CPPUNIT_ASSERT_MESSAGE(std::string(test.m_name),
                             ReadAll({test.m_bytes}) == test.m_lines);
    }
  }

  void LinesDoNotDependOnHowTheBytesArrive() {
    for (const SplitCase& test : split_cases) {
      for (std::size_t cut = 0; cut <= test.m_bytes.size(); ++cut) {
        const Lines lines =
            ReadAll({test.m_bytes.substr(0, cut), test.m_bytes.substr(cut)});
        CPPUNIT_ASSERT_MESSAGE(std::string(test.m_name), lines == test.m_lines);
      }
    }
  }

  void LongestLineIsRead() {
    const std::string longest(kMaxLineBytes, 'x');
    CPPUNIT_ASSERT(ReadAll({longest, "\r", "\n"}) == Lines{longest});
    CPPUNIT_ASSERT(ReadAll({longest + "\r\n"}) == Lines{longest});
  }

  void TooLongLineIsNeverReturned() {
    const std::string too_long(kMaxLineBytes + 1, 'x');
    for (const std::string& bytes : {too_long, too_long + "\r\nb\r\n"}) {
      LineReader reader;
      reader.Append("a\r\n" + bytes);
      CPPUNIT_ASSERT(reader.Next() == "a");
      CPPUNIT_ASSERT(!reader.Next());
      CPPUNIT_ASSERT(reader.is_too_long());
      reader.Append("\r\n");
      CPPUNIT_ASSERT(!reader.Next());
    }
  }

 private:
  static Lines ReadAll(const Lines& parts) {
    LineReader reader;
    Lines lines;
    for (const std::string& part : parts) {
      reader.Append(part);
      while (const std::optional<std::string_view> line = reader.Next()) {
        lines.emplace_back(*line);
      }
    }
    CPPUNIT_ASSERT(!reader.is_too_long());
    return lines;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineReaderTest);

}  // namespace
}  // namespace jasminelug::adapter
