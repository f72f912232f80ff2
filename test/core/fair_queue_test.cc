#include "src/core/fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jasminelug::core {
namespace {

struct Waiting {
  const char* m_customer;
  int m_deadline;
  uint64_t m_request;
};

struct OrderCase {
  std::string m_name;
  std::vector<Waiting> m_pushed;
  std::vector<uint64_t> m_removed;
  std::vector<uint64_t> m_popped;
};

const std::vector<OrderCase>& OrderCases() {
  static const std::vector<OrderCase> cases = {
      {"empty", {}, {}, {}},
      {"earliest deadline first",
       {{"a", 3, 1}, {"a", 1, 2}, {"a", 2, 3}},
       {},
       {2, 3, 1}},
      {"customers take turns",
       {{"a", 1, 1}, {"a", 2, 2}, {"a", 3, 3}, {"b", 9, 4}, {"c", 8, 5}},
       {},
       {1, 4, 5, 2, 3}},
      {"removed are passed over",
       {{"a", 1, 1}, {"a", 2, 2}, {"b", 3, 3}, {"c", 4, 4}},
       {1, 3},
       {2, 4}},
  };
  return cases;
}

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(RequestsLeaveInOrder);
  CPPUNIT_TEST(UnknownRequestIsNotRemoved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsLeaveInOrder() {
    for (const OrderCase& row : OrderCases()) {
      FairQueue queue;
      for (const Waiting& waiting : row.m_pushed) {
        queue.Push(CustomerName(waiting.m_customer),
                   Time(Duration(waiting.m_deadline)),
                   RequestHandle(waiting.m_request));
      }
      for (const uint64_t request : row.m_removed) {
        CPPUNIT_ASSERT_MESSAGE(row.m_name,
                               queue.Remove(RequestHandle(request)));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_popped.size(),
                                   queue.size());
      std::vector<uint64_t> popped;
      while (const auto request = queue.Pop()) {
        popped.push_back(request->value());
      }
      CPPUNIT_ASSERT_MESSAGE(row.m_name, row.m_popped == popped);
      CPPUNIT_ASSERT_MESSAGE(row.m_name, queue.empty());
    }
  }

  void UnknownRequestIsNotRemoved() {
    FairQueue queue;
    queue.Push(CustomerName("a"), Time(), RequestHandle(1));
    CPPUNIT_ASSERT(!queue.Remove(RequestHandle(2)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, queue.SizeOf(CustomerName("a")));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, queue.SizeOf(CustomerName("b")));
    CPPUNIT_ASSERT(queue.Remove(RequestHandle(1)));
    CPPUNIT_ASSERT(!queue.Remove(RequestHandle(1)));
    CPPUNIT_ASSERT(!queue.Pop().has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace
}  // namespace jasminelug::core
