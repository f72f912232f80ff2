#include "src/common/json_split.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelug {
namespace {

class JsonSplitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonSplitTest);
  CPPUNIT_TEST(SplitsLists);
  CPPUNIT_TEST(SplitsObjects);
  CPPUNIT_TEST(RejectsUnbalancedText);
  CPPUNIT_TEST(SkipsDeepNestingWithoutRecursion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SplitsLists() {
    struct Case {
      std::string m_text;
      std::vector<std::string_view> m_items;
    };
    const std::vector<Case> cases = {
        {"[]", {}},
        {" [ ] ", {}},
        {"[1]", {"1"}},
        {"[ -1.5e9 ,null,true ]", {"-1.5e9", "null", "true"}},
        {"[[1,2],{\"a\":[3]}]", {"[1,2]", "{\"a\":[3]}"}},
        {R"(["a,b]", "c\"]", "\\"])", {R"("a,b]")", R"("c\"]")", R"("\\")"}},
        {R"([["]"], {"}": 1}])", {R"(["]"])", R"({"}": 1})"}},
        {"[1e999]", {"1e999"}},
        {"[\"\xff\"]", {"\"\xff\""}},
    };
    for (const Case& test : cases) {
      const auto items = SplitJsonList(test.m_text);
      CPPUNIT_ASSERT_MESSAGE(test.m_text, items.has_value());
      CPPUNIT_ASSERT_MESSAGE(test.m_text, test.m_items == *items);
    }
  }

  void SplitsObjects() {
    const auto members = SplitJsonObject(
        R"( {"a": 1, "b" : {"a": [2]}, "c\"d": "x:y", "a": 3} )");
    CPPUNIT_ASSERT(members.has_value());
    const std::vector<JsonMember> expected = {{"a", "1"},
                                              {"b", R"({"a": [2]})"},
                                              {R"(c\"d)", R"("x:y")"},
                                              {"a", "3"}};
    CPPUNIT_ASSERT(expected == *members);
    CPPUNIT_ASSERT(std::optional<std::string_view>("1") ==
                   FindJsonMember(*members, "a"));
    CPPUNIT_ASSERT(!FindJsonMember(*members, "d").has_value());
    CPPUNIT_ASSERT(SplitJsonObject("{}")->empty());
  }

  void RejectsUnbalancedText() {
    for (const char* text :
         {"", " ", "1", "[", "]", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]2",
          "[\"", "[\"a", "[\"a\\", "[[1]", "{}", "[{]"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !SplitJsonList(text).has_value());
    }
    for (const char* text :
         {"", "1", "{", "}", "{\"a\"", "{\"a\"}", "{\"a\":", "{\"a\":}",
          "{\"a\":1", "{\"a\":1,", "{\"a\":1,}", "{a:1}", "{1:1}", "{\"a\" 1}",
          "{\"a\":1}}", "{\"a\":1 \"b\":2}", "[]", "{\"a\":[}"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !SplitJsonObject(text).has_value());
    }
  }

  void SkipsDeepNestingWithoutRecursion() {
    const std::size_t depth = 2'000'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::string text = "[1," + deep + ",2]";
    const auto items = SplitJsonList(text);
    CPPUNIT_ASSERT(items.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, items->size());
    CPPUNIT_ASSERT_EQUAL(deep.size(), items->at(1).size());
    CPPUNIT_ASSERT(!SplitJsonList(std::string(depth, '[')).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonSplitTest);

}  // namespace
}  // namespace jasminelug
