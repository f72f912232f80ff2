#include "src/gossip/forward_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>
#include <string>
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardCodecTest);

}  // namespace
}  // namespace jasminelug::gossip
