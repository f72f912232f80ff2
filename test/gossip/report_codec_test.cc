#include "src/gossip/report_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace jasminelug::gossip {
namespace {

gateway::PeerReport FullReport() {
  using namespace gateway;
  PeerReport report;
  report.m_sender = InstanceId("a");
  report.m_incarnation = Incarnation(1'234'567'890'123);
  report.m_sequence = 99;
  report.m_echoes = {{InstanceId("b"), Incarnation(5), 6, Duration(70)}};
  report.m_demand = {{CustomerName("c"), 12.5, 11.5}};
  report.m_samples = {
      {GroupName("g"), Duration(80), LogPosition{Term(3), 1207}}};
  report.m_unreachable = {GroupName("g")};
  report.m_reachable = {GroupName("h"), GroupName("k")};
  report.m_acknowledged = Revision(412);
  report.m_configuration = {Revision(77), Duration(1000)};
  report.m_replacements = {Revision(0), Duration(0)};
  report.m_cells = {{ZoneName("z"),
                     {{CustomerName("c"), 2.5, 2.25}},
                     {{GroupName("g"), 3, 4}},
                     Revision(9),
                     Revision(8)}};
  report.m_address = Address("10.0.0.1:7560");
  report.m_copies = {{StoreKind::kMembers, Revision(31), Revision(33)}};
  report.m_is_head = true;
  report.m_summary = FleetSummary{true,
                                  {{CustomerName("c"), 2.25, 3.5, 0.75, 7}},
                                  {{GroupName("g"), 1, 2}}};
  return report;
}

class ReportCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportCodecTest);
  CPPUNIT_TEST(EncodingRoundTrips);
  CPPUNIT_TEST(RejectsCorruptedBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EncodingRoundTrips() {
    for (const gateway::PeerReport& report :
         {gateway::PeerReport{}, FullReport()}) {
      const auto read = DecodeReport(EncodeReport(report));
      CPPUNIT_ASSERT(IsOk(read));
      CPPUNIT_ASSERT(report == GetValue(read));
    }
  }

  // Decoding damaged bytes must return an error rather than throw or crash.
  // Damages encoded messages by truncation and by one random byte.
  void RejectsCorruptedBytes() {
    const unsigned seed = std::random_device()();
    std::mt19937 random(seed);
    const std::string whole = EncodeReport(FullReport());
    int refused = 0;
    for (int i = 0; i < 2000; ++i) {
      std::string bytes = whole.substr(0, random() % whole.size());
      if (!bytes.empty()) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      refused += IsOk(DecodeReport(bytes)) ? 0 : 1;
    }
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), refused > 1000);
    CPPUNIT_ASSERT(!IsOk(DecodeReport("")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportCodecTest);

}  // namespace
}  // namespace jasminelug::gossip
