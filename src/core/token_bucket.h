#ifndef SRC_CORE_TOKEN_BUCKET_H_
#define SRC_CORE_TOKEN_BUCKET_H_

#include <cstdint>

#include "src/core/time.h"

namespace jasminelug::core {

// Cost of one statement, in millicredits.
inline constexpr uint64_t kCreditCost = 1000;

// A token bucket that counts in millicredits. It starts empty, so that a
// restart creates no credit.
class TokenBucket {
 public:
  // Sets the refill rate in millicredits per second and the capacity. A level
  // above the new capacity is reduced to it.
  void SetLimits(uint64_t rate, uint64_t capacity, Time now);

  // Takes the whole amount. Returns false and takes nothing if the level is
  // lower.
  bool Take(uint64_t amount, Time now);

  // Adds as much of `amount` as the capacity allows. Returns what was added.
  uint64_t Add(uint64_t amount, Time now);

  // Empties the bucket and discards the refill due until `now`.
  void Clear(Time now);

  // Returns the level at `now`, in millicredits.
  uint64_t Level(Time now) const;

  // Returns the time from `now` until the level plus the refill reaches
  // `amount`, at most `limit`. The amount may exceed the capacity, because it
  // may be taken in parts as it is refilled.
  Duration TimeUntil(uint64_t amount, Duration limit, Time now) const;

  uint64_t rate() const { return m_rate; }
  uint64_t capacity() const { return m_capacity; }

 private:
  void Refill(Time now);

  uint64_t m_rate = 0;
  uint64_t m_capacity = 0;
  // Level in millionths of a millicredit, so that no refill is lost to
  // rounding.
  uint64_t m_level = 0;
  Time m_last_refill;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_TOKEN_BUCKET_H_
