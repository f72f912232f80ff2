#ifndef SRC_HTTP2_INTERNAL_BIND_WEAK_H_
#define SRC_HTTP2_INTERNAL_BIND_WEAK_H_

#include <functional>
#include <memory>

namespace jasminelug::http2::internal {

// Returns a function that calls `method` on the object that `weak` refers to,
// or does nothing if that object was destroyed.
template <typename Owner, typename... Args>
std::function<void(Args...)> BindWeak(const std::weak_ptr<Owner>& weak,
                                      void (Owner::*method)(Args...)) {
  return [weak, method](Args... args) {
    if (const auto owner = weak.lock()) {
      ((*owner).*method)(args...);
    }
  };
}

}  // namespace jasminelug::http2::internal

#endif  // SRC_HTTP2_INTERNAL_BIND_WEAK_H_
