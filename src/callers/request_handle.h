#ifndef SRC_CALLERS_REQUEST_HANDLE_H_
#define SRC_CALLERS_REQUEST_HANDLE_H_

#include <cstdint>

namespace jasminelug::callers {

// Names one caller's request until it is answered; never used again.
struct RequestHandle {
  bool operator==(const RequestHandle&) const = default;
  bool operator<(const RequestHandle& other) const {
    return m_number < other.m_number;
  }

  // Counts the listener's requests from one.
  std::uint64_t m_number = 0;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_REQUEST_HANDLE_H_
