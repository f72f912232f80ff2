#ifndef SRC_COMMON_ASSERT_H_
#define SRC_COMMON_ASSERT_H_

#include <functional>
#include <string>

namespace jasminelug {

// Where an assertion failed, and the name of what should have held.
struct AssertionFailure {
  const char* m_name;
  const char* m_file;
  int m_line;
};

// Called once with the failure before the process stops. A daemon installs a
// hook that logs the recent event history; a test may throw from it.
using AssertionHook = std::function<void(const AssertionFailure&)>;

// Installs `hook` for this process and returns the one it replaces.
AssertionHook SetAssertionHook(AssertionHook hook);

namespace internal {

// Runs the hook, then aborts the process if the hook returns.
[[noreturn]] void FailAssertion(const AssertionFailure& failure);

}  // namespace internal
}  // namespace jasminelug

// States what must hold at this point, in release builds too. NAME is an
// upper-case identifier that reads as the message.
#define JASMINELUG_ASSERT(condition, NAME)                                \
  do {                                                                    \
    if (!(condition)) {                                                   \
      ::jasminelug::internal::FailAssertion({#NAME, __FILE__, __LINE__}); \
    }                                                                     \
  } while (false)

#endif  // SRC_COMMON_ASSERT_H_
