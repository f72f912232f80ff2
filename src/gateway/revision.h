#ifndef SRC_GATEWAY_REVISION_H_
#define SRC_GATEWAY_REVISION_H_

#include <compare>
#include <cstdint>

#include "src/core/ids.h"

namespace jasminelug::gateway {

// Number of the metadata store's history. It increases when the store is
// restored from a backup, which loses the changes since. 0 if the store does
// not say.
using StoreEpoch = core::Number<struct StoreEpochTag>;

// A state of the metadata store: the epoch of its history, and the number of
// changes in it.
//
// The store gives numbers out again after it was restored. Revisions are
// ordered by epoch first, so that a state of the restored store is always newer
// than one of the lost history. value() is a single number of the same order,
// for messages and for fencing tokens.
class Revision {
 public:
  // Number of low bits of value() that hold the number.
  static constexpr int kNumberBits = 48;

  constexpr Revision() = default;
  constexpr explicit Revision(std::uint64_t value) : m_value(value) {}
  constexpr Revision(StoreEpoch epoch, std::uint64_t number)
      : m_value((epoch.value() << kNumberBits) | (number & kNumberMask)) {}

  constexpr StoreEpoch epoch() const {
    return StoreEpoch(m_value >> kNumberBits);
  }
  // The store's own number of the revision, which it takes in calls.
  constexpr std::uint64_t number() const { return m_value & kNumberMask; }
  constexpr std::uint64_t value() const { return m_value; }

  friend auto operator<=>(const Revision&, const Revision&) = default;

 private:
  static constexpr std::uint64_t kNumberMask =
      (std::uint64_t{1} << kNumberBits) - 1;

  std::uint64_t m_value = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_REVISION_H_
