#ifndef SRC_COMMON_ASSERT_H_
#define SRC_COMMON_ASSERT_H_

#include <functional>
#include <string>

namespace jasminelug {

// The name and source location of an assertion that failed.
struct AssertionFailure {
  const char* m_name;
  const char* m_file;
  int m_line;
};

// Called once with the failure before the process aborts. A daemon installs a
// hook that logs the recent event history. A hook of a test may throw an
// exception, which prevents the abort.
using AssertionHook = std::function<void(const AssertionFailure&)>;

// Installs `hook` for this process and returns the previous hook.
AssertionHook SetAssertionHook(AssertionHook hook);

namespace internal {

// Writes the failure to standard error, calls the hook, and aborts the process
// if the hook returns.
[[noreturn]] void FailAssertion(const AssertionFailure& failure);

}  // namespace internal
}  // namespace jasminelug

// Fails the process if `condition` is false, in release builds too. NAME is an
// upper-case identifier that describes the condition; it is the message.
#define JASMINELUG_ASSERT(condition, NAME)                                \
  do {                                                                    \
    if (!(condition)) {                                                   \
      ::jasminelug::internal::FailAssertion({#NAME, __FILE__, __LINE__}); \
    }                                                                     \
  } while (false)

#endif  // SRC_COMMON_ASSERT_H_
