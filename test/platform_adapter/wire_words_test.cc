#include "platform/wire_words.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

namespace jasminelug::adapter {
namespace {

class WireWordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireWordsTest);
  CPPUNIT_TEST(ReadsPositions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsPositions() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1207}, ParsePosition("3.1207")->m_index);
    for (const char* text : {"-", "", "3", "3.", ".7", "a.b", "3.7x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParsePosition(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireWordsTest);

}  // namespace
}  // namespace jasminelug::adapter
