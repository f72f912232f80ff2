#include "src/common/assert.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace jasminelug {
namespace {

AssertionHook& InstalledHook() {
  static AssertionHook hook;
  return hook;
}

}  // namespace

AssertionHook SetAssertionHook(AssertionHook hook) {
  return std::exchange(InstalledHook(), std::move(hook));
}

namespace internal {

void FailAssertion(const AssertionFailure& failure) {
  std::fprintf(stderr, "assertion failed: %s (%s:%d)\n", failure.m_name,
               failure.m_file, failure.m_line);
  if (const AssertionHook hook = InstalledHook()) {
    hook(failure);
  }
  std::abort();
}

}  // namespace internal
}  // namespace jasminelug
