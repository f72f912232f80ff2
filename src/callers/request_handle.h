#ifndef SRC_CALLERS_REQUEST_HANDLE_H_
#define SRC_CALLERS_REQUEST_HANDLE_H_

#include <cstdint>

namespace jasminelug::callers {

// Identifies a caller's request until it is answered. A listener never reuses a
// handle.
struct RequestHandle {
  bool operator==(const RequestHandle&) const = default;
  bool operator<(const RequestHandle& other) const {
    return m_number < other.m_number;
  }

  // Sequence number of the request within its listener, starting at 1.
  std::uint64_t m_number = 0;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_REQUEST_HANDLE_H_
