#include "src/common/object_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>

namespace jasminelug {
namespace {

enum class Mode { kFast, kSafe };

struct Member {
  bool operator==(const Member&) const = default;
  std::string m_address;
  std::uint16_t m_port = 0;
};

struct Settings {
  bool operator==(const Settings&) const = default;
  std::string m_name;
  Mode m_mode = Mode::kSafe;
  double m_ratio = 0.5;
  bool m_enabled = false;
  std::chrono::milliseconds m_timeout{100};
  std::optional<std::int64_t> m_limit;
  std::vector<std::string> m_tags;
  Member m_listen;
  std::vector<Member> m_members;
};

void ReadMember(ObjectReader& reader, Member* member) {
  reader.Required("address", &member->m_address);
  reader.Required("port", &member->m_port);
}

void ReadSettings(ObjectReader& reader, Settings* settings) {
  reader.Required("name", &settings->m_name);
  reader.OptionalEnum("mode", {{"fast", Mode::kFast}, {"safe", Mode::kSafe}},
                      &settings->m_mode);
  reader.Optional("ratio", &settings->m_ratio);
  reader.Optional("enabled", &settings->m_enabled);
  reader.Optional("timeout_ms", &settings->m_timeout);
  reader.Optional("limit", &settings->m_limit);
  reader.Optional("tags", &settings->m_tags);
  reader.OptionalObject<Member>("listen", &settings->m_listen, ReadMember);
  reader.Objects<Member>("members", &settings->m_members, ReadMember);
}

Result<Settings, FieldErrors> Read(const std::string& text) {
  return ReadDocument<Settings>(text, JsonComments::kAllowed, ReadSettings);
}

class ObjectReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectReaderTest);
  CPPUNIT_TEST(ReadsAllTypesWithComments);
  CPPUNIT_TEST(MissingFieldsKeepDefaults);
  CPPUNIT_TEST(EachErrorNamesItsField);
  CPPUNIT_TEST(CommentsAreRefusedWhereNotAllowed);
  CPPUNIT_TEST(UnknownFieldsAreIgnoredOnRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAllTypesWithComments() {
    const auto result = Read(R"({
      // a comment
      "name": "n", "mode": "fast", "ratio": 2, "enabled": true,
      "timeout_ms": 250, "limit": -7, "tags": ["a", "b"], /* another */
      "listen": {"address": "127.0.0.1", "port": 65535},
      "members": [{"address": "m", "port": 1}]})");
    const Settings expected{"n",
                            Mode::kFast,
                            2.0,
                            true,
                            std::chrono::milliseconds(250),
                            -7,
                            {"a", "b"},
                            {"127.0.0.1", 65535},
                            {{"m", 1}}};
    CPPUNIT_ASSERT(IsOk(result));
    CPPUNIT_ASSERT(expected == GetValue(result));
  }

  void MissingFieldsKeepDefaults() {
    Settings expected;
    expected.m_name = "n";
    CPPUNIT_ASSERT(expected == GetValue(Read(R"({"name": "n"})")));
    CPPUNIT_ASSERT(expected ==
                   GetValue(Read(R"({"name": "n", "limit": null})")));
  }

  void EachErrorNamesItsField() {
    struct Row {
      const char* m_text;
      std::vector<std::string> m_fields;
    };
    const Row rows[] = {
        {"", {""}},
        {"[]", {""}},
        {"{\"name\": }", {""}},
        {R"({"name": 1e999})", {""}},
        {"{}", {"name"}},
        {R"({"name": null})", {"name"}},
        {R"({"name": "n", "name": "m"})", {"name"}},
        {R"({"name": "n", "listen": {"port": 1, "port": 2}})", {"listen.port"}},
        {R"({"name": 1, "nmae": 2})", {"name", "nmae"}},
        {R"({"name": "n", "mode": "slow"})", {"mode"}},
        {R"({"name": "n", "mode": 1})", {"mode"}},
        {R"({"name": "n", "ratio": "1", "enabled": 1})", {"ratio", "enabled"}},
        {R"({"name": "n", "timeout_ms": -1})", {"timeout_ms"}},
        {R"({"name": "n", "timeout_ms": 1.5})", {"timeout_ms"}},
        {R"({"name": "n", "limit": 9223372036854775808})", {"limit"}},
        {R"({"name": "n", "tags": "a"})", {"tags"}},
        {R"({"name": "n", "tags": ["a", 1, 2]})", {"tags[1]", "tags[2]"}},
        {R"({"name": "n", "listen": 1})", {"listen"}},
        {R"({"name": "n", "listen": {"port": 65536, "x": 1}})",
         {"listen.address", "listen.port", "listen.x"}},
        {R"({"name": "n", "members": [{"address": "a", "port": 1},
            {"address": "b", "port": -1}, 3]})",
         {"members[1].port", "members[2]"}},
    };
    for (const Row& row : rows) {
      const auto result = Read(row.m_text);
      CPPUNIT_ASSERT_MESSAGE(row.m_text, !IsOk(result));
      std::vector<std::string> fields;
      for (const FieldError& error : GetError(result)) {
        CPPUNIT_ASSERT_MESSAGE(row.m_text, !error.m_message.empty());
        fields.push_back(error.m_field);
      }
      CPPUNIT_ASSERT_MESSAGE(row.m_text, row.m_fields == fields);
    }
    const std::string deep(40, '[');
    CPPUNIT_ASSERT(!IsOk(Read(deep + std::string(40, ']'))));
    CPPUNIT_ASSERT_EQUAL(std::string("not valid JSON at line 2, column 3"),
                         FormatFieldErrors(GetError(Read("{\n  secret}"))));
  }

  void CommentsAreRefusedWhereNotAllowed() {
    const auto result = ReadDocument<Settings>(
        "{\"name\": \"n\" /* no */}", JsonComments::kRefused, ReadSettings);
    CPPUNIT_ASSERT(!IsOk(result));
  }

  // Only the object that asks for it is lenient, not those inside it.
  void UnknownFieldsAreIgnoredOnRequest() {
    const auto read = [](const std::string& text) {
      return ReadDocument<Member>(text, JsonComments::kRefused,
                                  [](ObjectReader& reader, Member* member) {
                                    reader.IgnoreUnknownFields();
                                    reader.Required("port", &member->m_port);
                                    reader.OptionalObject<Member>(
                                        "inner", member, ReadMember);
                                  });
    };
    CPPUNIT_ASSERT(IsOk(read(R"({"port": 1, "other": 2})")));
    const auto inner = read(
        R"({"port": 1, "inner": {"address": "a", "port": 1, "other": 2}})");
    CPPUNIT_ASSERT(!IsOk(inner));
    CPPUNIT_ASSERT_EQUAL(std::string("inner.other"),
                         GetError(inner).at(0).m_field);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectReaderTest);

}  // namespace
}  // namespace jasminelug
