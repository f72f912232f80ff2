#include "src/gossip/state_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jasminelug::gossip {
namespace {

using gateway::Revision;
using gateway::StoreKind;

std::vector<gateway::StateMessage> Messages() {
  gateway::StateRequest request{StoreKind::kMembers, Revision(7), {}};
  request.m_known = {{"a", Revision(5)}, {"b", Revision(6)}};
  gateway::StateUpdate update;
  update.m_kind = StoreKind::kReplacements;
  update.m_base = Revision(7);
  update.m_changed = Revision(1ULL << 40);
  update.m_objects = {"{\"meta\": {}}", std::string("\0\xff", 2)};
  update.m_removed = {"c"};
  gateway::StateUpdate verified = update;
  verified.m_age = gateway::Duration(1234);
  request.m_number = 1ULL << 50;
  verified.m_number = 12;
  return {gateway::StateRequest{}, gateway::StateUpdate{}, request, update,
          verified};
}

class StateCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateCodecTest);
  CPPUNIT_TEST(EncodingRoundTrips);
  CPPUNIT_TEST(RejectsCorruptedBytes);
  CPPUNIT_TEST(ReadsUpdatesWithoutANumber);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EncodingRoundTrips() {
    for (const gateway::StateMessage& message : Messages()) {
      const auto read = DecodeState(EncodeState(message));
      CPPUNIT_ASSERT(IsOk(read));
      CPPUNIT_ASSERT(message == GetValue(read));
    }
  }

  // Decoding damaged bytes must return an error or a message, and must neither
  // throw nor end the process.
  void RejectsCorruptedBytes() {
    const unsigned seed = std::random_device()();
    std::mt19937 random(seed);
    int refused = 0;
    for (int i = 0; i < 4000; ++i) {
      std::string bytes = EncodeState(Messages()[2 + random() % 3]);
      bytes.resize(random() % bytes.size());
      if (!bytes.empty()) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      refused += IsOk(DecodeState(bytes)) ? 0 : 1;
    }
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), refused > 2000);
    CPPUNIT_ASSERT(!IsOk(DecodeState("")));
    CPPUNIT_ASSERT(!IsOk(DecodeState(std::string(100000, '\x1c'))));
  }

  // Bytes that a version wrote that did not number requests. Instances of both
  // versions run side by side while a fleet is restarted.
  void ReadsUpdatesWithoutANumber() {
    const std::string bytes(
        "\x2c\x15\x08\x16\x0e\x16\x12\x19\x18\x02{}\x19\x08\x16\x18\x00\x00",
        18);
    const auto read = DecodeState(bytes);
    CPPUNIT_ASSERT(IsOk(read));
    const auto& update = std::get<gateway::StateUpdate>(GetValue(read));
    CPPUNIT_ASSERT(!update.m_number);
    CPPUNIT_ASSERT(gateway::Revision(7) == update.m_base);
    CPPUNIT_ASSERT(bytes == EncodeState(update));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateCodecTest);

}  // namespace
}  // namespace jasminelug::gossip
