#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/caller_lines.h"
#include "platform/line_reader.h"
#include "platform/member_statements.h"
#include "test/gateway/engine_fixture.h"

namespace jasminelug::adapter {
namespace {

using Texts = std::vector<std::string>;

// Marks the place of the field in the texts of a form.
constexpr std::string_view kField = "{}";

// Statements of a caller that contain one field, and the statements that the
// primary receives for them.
struct Form {
  std::string m_name;
  Texts m_sent;
  Texts m_received;
  // Whether the field may be empty.
  bool m_may_be_empty;
  // Whether a member may receive a longer line than the caller has sent,
  // because of another name or of a position that the member must hold.
  bool m_may_grow;
};

const std::vector<Form> forms = {
    {"a read", {"READ {}"}, {"READ {}"}, false, true},
    {"a write", {"WRITE x {}"}, {"WRITE x {}"}, true, false},
    {"a transaction",
     {"BEGIN", "READ x", "WRITE x {}", "COMMIT"},
     {"BEGIN", "READ x", "WRITE x {}", "COMMIT"},
     true,
     false},
    {"a session value",
     {"SET n {}", "READ x"},
     {"SET n {}", "READ x"},
     true,
     false},
    {"a shape",
     {"PREPARE s WRITE {}", "EXECUTE s x y"},
     {"PREPARE p1 WRITE {}", "EXECUTE p1 x y"},
     false,
     true},
    {"an execution",
     {"PREPARE s WRITE q", "EXECUTE s {}"},
     {"PREPARE p1 WRITE q", "EXECUTE p1 {}"},
     false,
     true},
    {"an execution in a transaction",
     {"PREPARE s READ q", "BEGIN", "EXECUTE s {}", "COMMIT"},
     {"PREPARE p1 READ q", "BEGIN", "EXECUTE p1 {}", "COMMIT"},
     false,
     true}};

const Texts odd_fields = {"a",
                          "a\nb",
                          "\na",
                          "a\n",
                          "a\rb",
                          "\ra",
                          "a\r",
                          "a\r\r",
                          "a\n\rb",
                          std::string("a\0b", 3),
                          std::string("\0", 1),
                          "\xff\x80",
                          " ",
                          " a",
                          "a ",
                          "a  b",
                          "\t",
                          "-",
                          "a\nQUERY 2 WRITE x z",
                          "QUERY",
                          "ROW a",
                          "COMPLETE x",
                          "READY I 3.1",
                          "ERROR BUSY -",
                          "TERM",
                          "START g c i",
                          "AFTER 3.1 READ x"};

// More than the gateway adds to a line, in bytes.
constexpr std::size_t kMaxGrowth = 100;

std::string Replace(std::string text, const std::string& field) {
  const std::size_t at = text.find(kField);
  return at == std::string::npos ? text
                                 : text.replace(at, kField.size(), field);
}

Texts Replace(Texts texts, const std::string& field) {
  for (std::string& text : texts) {
    text = Replace(text, field);
  }
  return texts;
}

// Carries the lines of one caller to the primary: through the reader of lines,
// the codec and the engine.
class CarriedStatements {
 public:
  CarriedStatements() : m_session(m_engine.Open("strict")) {}

  // Sends a statement and answers what the primary receives for it.
  void Send(const std::string& text) {
    m_reader.Append("QUERY id " + text + "\r\n");
    const std::optional<std::string_view> line = m_reader.Next();
    CPPUNIT_ASSERT(line);
    CallerMessage message = ParseCallerLine(*line);
    auto* statement = std::get_if<gateway::Statement>(&message);
    CPPUNIT_ASSERT(statement);
    m_engine.m_engine.OnStatement(m_session, *statement, m_engine.m_now);
    m_engine.AnswerAllAt("p", 7);
    m_engine.Advance(gateway::Duration(std::chrono::milliseconds(100)));
  }

  // Returns whether the newest answer is a success.
  bool succeeded() const { return m_engine.Succeeded(m_session); }
  std::optional<gateway::ErrorCode> LastError() const {
    return m_engine.LastError(m_session);
  }

  // Returns the texts of all statements that the primary has received.
  Texts Received() const {
    LineReader reader;
    for (const auto& [id, connection] : m_engine.m_connections) {
      for (const gateway::MemberStatement& statement : connection.m_all) {
        const Result<std::string, UnwritableLine> line =
            FormatMemberStatement(statement);
        CPPUNIT_ASSERT(IsOk(line));
        reader.Append(GetValue(line));
      }
    }
    Texts texts;
    while (const std::optional<std::string_view> line = reader.Next()) {
      const std::size_t id = line->find(' ') + 1;
      texts.emplace_back(line->substr(line->find(' ', id) + 1));
    }
    CPPUNIT_ASSERT(!reader.is_too_long());
    return texts;
  }

 private:
  gateway::EngineFixture m_engine;
  gateway::SessionId m_session;
  LineReader m_reader;
};

class CarriedStatementsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CarriedStatementsTest);
  CPPUNIT_TEST(FieldsAreCarriedByteForByte);
  CPPUNIT_TEST(EmptyFieldIsCarriedOrRefused);
  CPPUNIT_TEST(StatementWithMissingOrExcessFieldsIsRefused);
  CPPUNIT_TEST(LongestLineIsCarriedOrRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FieldsAreCarriedByteForByte() {
    for (const Form& form : forms) {
      for (const std::string& field : odd_fields) {
        CheckCarried(form, field);
      }
    }
  }

  void EmptyFieldIsCarriedOrRefused() {
    for (const Form& form : forms) {
      if (form.m_may_be_empty) {
        CheckCarried(form, "");
      } else {
        CheckRefused(form, "");
      }
    }
  }

  // An EXECUTE without an item was sent with an additional blank, as was a
  // value that a SET did not have; what stood behind the name in a RELEASE was
  // ignored.
  void StatementWithMissingOrExcessFieldsIsRefused() {
    const std::vector<Texts> cases = {{"READ"},
                                      {"WRITE"},
                                      {"SET n"},
                                      {"SET"},
                                      {"SET  v"},
                                      {"PREPARE s WRITE q", "EXECUTE s"},
                                      {"PREPARE s WRITE q", "EXECUTE"},
                                      {"PREPARE s WRITE q", "EXECUTE  s x"},
                                      {"PREPARE s WRITE q", "RELEASE s x"},
                                      {"PREPARE s WRITE q", "RELEASE s "},
                                      {"PREPARE s WRITE"},
                                      {"PREPARE  WRITE q"},
                                      {"PREPARE s  WRITE q"},
                                      {" READ x"},
                                      {"READ\nx"}};
    for (const Texts& texts : cases) {
      CheckRefused(texts, texts.back());
    }
  }

  void LongestLineIsCarriedOrRefused() {
    for (const Form& form : forms) {
      for (const std::size_t less : {0, 1, 10, 100, 1000}) {
        const bool must_be_carried = !form.m_may_grow || less >= kMaxGrowth;
        const bool is_carried = IsCarriedOrRefused(form, less);
        CPPUNIT_ASSERT_MESSAGE(form.m_name, is_carried || !must_be_carried);
      }
    }
  }

 private:
  static void CheckCarried(const Form& form, const std::string& field) {
    const std::string name = form.m_name + ", field '" + field + "'";
    CarriedStatements statements;
    for (const std::string& text : form.m_sent) {
      statements.Send(Replace(text, field));
      CPPUNIT_ASSERT_MESSAGE(name, statements.succeeded());
    }
    CPPUNIT_ASSERT_MESSAGE(
        name, Replace(form.m_received, field) == statements.Received());
  }

  static void CheckRefused(const Form& form, const std::string& field) {
    const std::string name = form.m_name + ", field '" + field + "'";
    CheckRefused(Replace(form.m_sent, field), name);
  }

  // Checks that one of the statements is refused as malformed, and that none
  // after that reaches the primary.
  static void CheckRefused(const Texts& texts, const std::string& name) {
    CarriedStatements statements;
    for (const std::string& text : texts) {
      const Texts received = statements.Received();
      statements.Send(text);
      if (statements.LastError() == gateway::ErrorCode::kMalformed) {
        CPPUNIT_ASSERT_MESSAGE(name, received == statements.Received());
        return;
      }
    }
    CPPUNIT_FAIL(name + ": not refused");
  }

  // Sends the form with its field in a line that is `less` bytes shorter than
  // the longest one. Returns whether it was carried, and fails if it was
  // neither carried nor refused.
  static bool IsCarriedOrRefused(const Form& form, std::size_t less) {
    const std::string field(LongestFieldOf(form) - less, 'x');
    CarriedStatements statements;
    for (const std::string& text : form.m_sent) {
      const Texts received = statements.Received();
      statements.Send(Replace(text, field));
      if (!statements.succeeded()) {
        CPPUNIT_ASSERT_MESSAGE(form.m_name, statements.LastError() ==
                                                gateway::ErrorCode::kMalformed);
        CPPUNIT_ASSERT_MESSAGE(form.m_name, received == statements.Received());
        return false;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(
        form.m_name, Replace(form.m_received, field) == statements.Received());
    return true;
  }

  // Returns the length of the field in the longest line of a caller.
  static std::size_t LongestFieldOf(const Form& form) {
    std::size_t longest = 0;
    for (const std::string& text : form.m_sent) {
      if (text.find(kField) != std::string::npos) {
        longest = kMaxLineBytes - std::string_view("QUERY id ").size() -
                  Replace(text, "").size();
      }
    }
    return longest;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CarriedStatementsTest);

}  // namespace
}  // namespace jasminelug::adapter
