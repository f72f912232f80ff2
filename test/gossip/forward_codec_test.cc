#include "src/gossip/forward_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jasminelug::gossip {
namespace {

std::vector<gateway::ForwardMessage> AllMessages() {
  using namespace gateway;
  ForwardedStatement statement;
  statement.m_operation = OperationId(17);
  statement.m_number = 3;
  statement.m_starts_operation = false;
  statement.m_transaction = TransactionMode::kReadOnly;
  statement.m_customer = CustomerName("c");
  statement.m_route = {GroupName("g"),
                       Consistency::kReadYourWrites,
                       Duration(1500),
                       Duration(900),
                       Duration(300),
                       2,
                       true};
  statement.m_statement = {"id", StatementKind::kExecute,  "EXECUTE s 1", "s",
                           "1",  {Access::kWrite, "shape"}};
  statement.m_values = {{"a", "b"}, {"c", std::string("\0d", 2)}};
  statement.m_last_commit = {Duration(70), LogPosition{Term(3), 99}};
  const Answer completed = {Completed{{"r1", "r2"}, "signature"},
                            TransactionState::kOpen, LogPosition{Term(1), 2}};
  const Answer refused = {Refused{ErrorCode::kMalformed, "why", true},
                          TransactionState::kFailed, std::nullopt};
  return {ForwardedStatement{},
          statement,
          ForwardedAnswer{OperationId(1), std::nullopt, completed},
          ForwardedAnswer{OperationId(2), 3, refused},
          ForwardedEnd{OperationId(3)},
          ForwardPing{},
          ForwardProgress{},
          ForwardProgress{{OperationId(4), OperationId(5)}}};
}

class ForwardCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardCodecTest);
  CPPUNIT_TEST(EncodingRoundTrips);
  CPPUNIT_TEST(RejectsCorruptedBytes);
  CPPUNIT_TEST(RejectsBytesAfterTheMessage);
  CPPUNIT_TEST(ReadsAnswersWithoutANumber);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EncodingRoundTrips() {
    for (const gateway::ForwardMessage& message : AllMessages()) {
      const auto read = DecodeForward(EncodeForward(message));
      CPPUNIT_ASSERT(IsOk(read));
      CPPUNIT_ASSERT(message == GetValue(read));
    }
  }

  // Decoding damaged bytes must return an error rather than throw or crash.
  // Damages encoded messages by truncation and by one random byte.
  void RejectsCorruptedBytes() {
    const unsigned seed = std::random_device()();
    std::cout << "seed " << seed << "\n";
    std::mt19937 random(seed);
    int refused = 0;
    for (const gateway::ForwardMessage& message : AllMessages()) {
      const std::string whole = EncodeForward(message);
      for (int i = 0; i < 500; ++i) {
        std::string bytes = whole.substr(0, random() % whole.size());
        if (!bytes.empty()) {
          bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        refused += IsOk(DecodeForward(bytes)) ? 0 : 1;
      }
    }
    CPPUNIT_ASSERT(refused > 0);
  }

  void RejectsBytesAfterTheMessage() {
    for (const gateway::ForwardMessage& message : AllMessages()) {
      const std::string whole = EncodeForward(message);
      for (const std::string& more : {std::string(1, '\0'), whole}) {
        CPPUNIT_ASSERT(!IsOk(DecodeForward(whole + more)));
      }
    }
  }

  // Bytes that a version wrote that did not number statements. Instances of
  // both versions run side by side while a fleet is restarted.
  void ReadsAnswersWithoutANumber() {
    const std::string bytes(
        "\x2c\x16\xdd\xff\xff\xff\xff\xff\xff\xff\x1d\x1c\x1c\x19\x18\x01r\x18"
        "\x03sig\x00\x00\x15\x02\x1c\x16\x02\x16\x04\x00\x00\x00",
        34);
    const auto read = DecodeForward(bytes);
    CPPUNIT_ASSERT(IsOk(read));
    const auto& answer = std::get<gateway::ForwardedAnswer>(GetValue(read));
    CPPUNIT_ASSERT(!answer.m_number);
    CPPUNIT_ASSERT(
        std::holds_alternative<gateway::Completed>(answer.m_answer.m_outcome));
    CPPUNIT_ASSERT(bytes == EncodeForward(answer));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardCodecTest);

}  // namespace
}  // namespace jasminelug::gossip
