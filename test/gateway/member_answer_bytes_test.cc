#include "src/gateway/member_answer_bytes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace jasminelug::gateway {
namespace {

class MemberAnswerBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberAnswerBytesTest);
  CPPUNIT_TEST(LargestAnswerIsClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LargestAnswerIsClosed() {
    struct Step {
      const char* m_name;
      std::uint64_t m_connection;
      std::size_t m_bytes;
      std::optional<ConnectionId> m_to_close;
    };
    const std::vector<Step> steps = {
        {"first row", 1, 30, std::nullopt},
        {"another answer", 2, 40, std::nullopt},
        {"second row", 1, 30, std::nullopt},
        {"over the limit", 2, 1, ConnectionId(1)},
        {"the other one is larger", 2, 50, ConnectionId(2)},
    };
    MemberAnswerBytes bytes(100);
    for (const Step& step : steps) {
      bytes.Add(ConnectionId(step.m_connection), step.m_bytes);
      CPPUNIT_ASSERT_MESSAGE(step.m_name,
                             step.m_to_close == bytes.ConnectionToClose());
    }
    bytes.Remove(ConnectionId(2));
    CPPUNIT_ASSERT(!bytes.ConnectionToClose());
    bytes.Add(ConnectionId(3), 40);
    CPPUNIT_ASSERT(!bytes.ConnectionToClose());
    bytes.Remove(ConnectionId(4));
    bytes.Add(ConnectionId(3), 1);
    CPPUNIT_ASSERT(ConnectionId(1) == bytes.ConnectionToClose());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberAnswerBytesTest);

}  // namespace
}  // namespace jasminelug::gateway
