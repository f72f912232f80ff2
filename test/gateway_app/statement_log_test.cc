#include "apps/gateway/statement_log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>

#include <string>
#include <variant>
#include <vector>

#include "jasminelug/common.h"

namespace jasminelug::gateway_app {
namespace {

// Maximum length of a text in a log line that the tests allow, in bytes.
constexpr std::size_t kMaxTextBytes = 256;

// Returns a text as long as a line of the protocol.
const std::string& Huge() {
  static const std::string huge(std::size_t{1} << 20, 'x');
  return huge;
}

// Keeps the fields of the events that it receives.
class FieldsAppender : public log4cplus::Appender {
 public:
  FieldsAppender() = default;
  FieldsAppender(const FieldsAppender&) = delete;
  FieldsAppender& operator=(const FieldsAppender&) = delete;
  ~FieldsAppender() override { destructorImpl(); }

  void close() override {}

  const std::vector<LogFields>& events() const { return m_events; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    m_events.push_back(dynamic_cast<const JsonLogEvent&>(event).Fields());
  }

 private:
  std::vector<LogFields> m_events;
};

class StatementLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementLogTest);
  CPPUNIT_TEST(TextsOfCallersAndMembersAreCut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_logger = log4cplus::Logger::getInstance("statement_log_test");
    m_appender = new FieldsAppender();  // Owned by the logger.
    m_logger.addAppender(log4cplus::SharedAppenderPtr(m_appender));
  }

  void tearDown() override { m_logger.removeAllAppenders(); }

  // An id, an error's text and a signature may be as long as a line.
  void TextsOfCallersAndMembersAreCut() {
    StatementLog log(m_logger);
    const gateway::Time now(gateway::Duration(1));
    gateway::StatementSummary end;
    end.m_statement_id = Huge();
    end.m_reason = Huge();
    log.Add(end, now);
    gateway::UnexpectedAnswer answer;
    answer.m_statement_id = Huge();
    answer.m_signature = Huge();
    log.AddUnexpected(answer, now);
    gateway::Statement malformed;
    malformed.m_id = Huge();
    malformed.m_text = Huge();
    log.AddMalformed(malformed, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_appender->events().size());
    for (const LogFields& fields : m_appender->events()) {
      for (const LogField& field : fields) {
        const auto* text = std::get_if<std::string>(&field.m_value);
        CPPUNIT_ASSERT_MESSAGE(field.m_name,
                               !text || text->size() <= kMaxTextBytes);
      }
    }
  }

 private:
  log4cplus::Logger m_logger;
  FieldsAppender* m_appender = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementLogTest);

}  // namespace
}  // namespace jasminelug::gateway_app
