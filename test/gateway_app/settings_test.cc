#include "apps/gateway/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace jasminelug::gateway_app {
namespace {

constexpr char kSettings[] = R"({
  // Settings may have comments.
  "instance": "front-1", "zone": "arima",
  "callers": "10.0.0.1:8465", "status": "10.0.0.1:8460",
  "peer_address": "10.0.0.1", "peer_ports": [7560, 7575],
  "processors": {"share": 0.25, "cores": 2},
  "store": "10.9.0.1:80", "promotion": "10.9.0.2:80",
  "key_withdrawal_limit_ms": 4000, "shutdown_limit_ms": 7000})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsAllFields);
  CPPUNIT_TEST(ErrorsNameTheField);
  CPPUNIT_TEST(LimitsOfThePlatformMayBeMissing);
  CPPUNIT_TEST(ZonesNameTheirRegions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAllFields() {
    const auto settings = ParseSettings(kSettings);
    CPPUNIT_ASSERT(IsOk(settings));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7560}, GetValue(settings).m_peer_port);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                         GetValue(settings).m_processors.m_cores);
    CPPUNIT_ASSERT(std::chrono::milliseconds(7000) ==
                   GetValue(settings).m_shutdown_limit);
  }

  // The platform may leave out a limit, and may add others.
  void LimitsOfThePlatformMayBeMissing() {
    struct Case {
      std::string m_limits;
      adapter::ProcessLimits m_expected;
    };
    const adapter::ProcessLimits unset;
    const std::size_t megabyte = std::size_t{1} << 20;
    const std::vector<Case> cases = {
        {"{}", unset},
        {R"({"cpu-share": 0.25, "cores": 1})", unset},
        {R"({"memory-mb": 0, "max-fds": -1})", unset},
        {R"({"memory-mb": null})", unset},
        {R"({"memory-mb": 260})", {260 * megabyte, unset.m_descriptors}},
        {R"({"memory-mb": 0.5, "max-fds": 4300, "link-mbps": 1000.0})",
         {megabyte / 2, 4300}},
    };
    for (const Case& row : cases) {
      const auto settings = ParseSettings(
          With("\"store\"", "\"limits\": " + row.m_limits + ", \"store\""));
      CPPUNIT_ASSERT_MESSAGE(row.m_limits, IsOk(settings));
      CPPUNIT_ASSERT_MESSAGE(row.m_limits,
                             row.m_expected == GetValue(settings).m_limits);
    }
  }

  // The platform names the region of each zone, or none.
  void ZonesNameTheirRegions() {
    struct Case {
      std::string m_zones;
      bool m_several;
    };
    const std::vector<Case> cases = {
        {"{}", false},
        {R"({"arima": "trinidad", "chaguanas": "trinidad"})", false},
        {R"({"arima": "trinidad", "scarborough": "tobago"})", true}};
    for (const Case& row : cases) {
      const auto settings = ParseSettings(
          With("\"store\"", "\"zones\": " + row.m_zones + ", \"store\""));
      CPPUNIT_ASSERT_MESSAGE(row.m_zones, IsOk(settings));
      CPPUNIT_ASSERT_EQUAL(row.m_several,
                           GetValue(settings).m_regions.are_several());
    }
  }

  void ErrorsNameTheField() {
    struct Case {
      std::string m_field;
      std::string m_text;
    };
    const std::vector<Case> cases = {
        {"instance", With("front-1", "")},
        {"callers", With("10.0.0.1:8465", "10.0.0.1")},
        {"status", With("10.0.0.1:8460", "10.0.0.1:99999")},
        {"store", With("10.9.0.1:80", "store:80")},
        {"promotion", With("10.9.0.2:80", "10.9.0.2:0")},
        {"peer_address", With("\"10.0.0.1\"", "\"here\"")},
        {"peer_address", With("\"10.0.0.1\"", "\"10.0.0.1:7560\"")},
        {"peer_ports", With("[7560, 7575]", "[]")},
        {"peer_ports", With("[7560, 7575]", "[70000]")},
        {"processors.share", With("0.25", "-1")},
        {"shutdown_limit_ms", With("7000", "0")},
        {"limits", With("\"store\"", "\"limits\": 1, \"store\"")},
        {"limits.memory-mb",
         With("\"store\"", R"("limits": {"memory-mb": "x"}, "store")")},
        {"zones", With("\"store\"", R"("zones": ["arima"], "store")")},
        {"zones.arima", With("\"store\"", R"("zones": {"arima": 1}, "store")")},
        {"zones.arima",
         With("\"store\"", R"("zones": {"arima": ""}, "store")")},
        {"colour", With("\"zone\"", "\"colour\": 1, \"zone\"")},
    };
    for (const Case& row : cases) {
      const auto settings = ParseSettings(row.m_text);
      CPPUNIT_ASSERT_MESSAGE(row.m_text, !IsOk(settings));
      CPPUNIT_ASSERT_EQUAL(row.m_field, GetError(settings).at(0).m_field);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace jasminelug::gateway_app
