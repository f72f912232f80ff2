// Tests which availability zones count as one region.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "src/gateway/locality/regions.h"

namespace jasminelug::gateway {
namespace {

using ZoneMap = std::map<ZoneName, RegionName>;

const ZoneName zone_a("a");
const ZoneName zone_b("b");
const ZoneName zone_c("c");
const RegionName east("east");
const RegionName west("west");

class RegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionsTest);
  CPPUNIT_TEST(ZonesAreTogetherUnlessTheSettingsSeparateThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A deployment of one region, or whose settings name none, must be served as
  // if there were no regions.
  void ZonesAreTogetherUnlessTheSettingsSeparateThem() {
    struct Case {
      std::string m_name;
      ZoneMap m_zones;
      bool m_several;
      bool m_a_with_b;
      bool m_a_with_c;
    };
    const std::vector<Case> cases = {
        {"no settings", {}, false, true, true},
        {"one region", {{zone_a, east}, {zone_b, east}}, false, true, true},
        {"two regions",
         {{zone_a, east}, {zone_b, east}, {zone_c, west}},
         true,
         true,
         false},
        {"a zone without a region",
         {{zone_a, east}, {zone_b, west}},
         true,
         false,
         false}};
    for (const Case& row : cases) {
      const Regions regions(row.m_zones);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_several,
                                   regions.are_several());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_a_with_b,
                                   regions.AreTogether(zone_a, zone_b));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_a_with_c,
                                   regions.AreTogether(zone_a, zone_c));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionsTest);

}  // namespace
}  // namespace jasminelug::gateway
