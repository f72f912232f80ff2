#include "src/core/token_bucket.h"

#include <algorithm>

namespace jasminelug::core {
namespace {

constexpr uint64_t kLevelScale = 1'000'000;

// Returns the refill during `elapsed`, in units of 1 / kLevelScale
// millicredits, at most `room`. Divides before it multiplies, so that the
// product cannot overflow.
uint64_t RefillAmount(uint64_t rate, Duration elapsed, uint64_t room) {
  if (rate == 0 || elapsed.count() <= 0) {
    return 0;
  }
  const auto micros = static_cast<uint64_t>(elapsed.count());
  if (micros > room / rate) {
    return room;
  }
  return micros * rate;
}

}  // namespace

void TokenBucket::SetLimits(uint64_t rate, uint64_t capacity, Time now) {
  Refill(now);
  m_rate = rate;
  m_capacity = capacity;
  m_level = std::min(m_level, capacity * kLevelScale);
}

bool TokenBucket::Take(uint64_t amount, Time now) {
  Refill(now);
  if (m_level < amount * kLevelScale) {
    return false;
  }
  m_level -= amount * kLevelScale;
  return true;
}

uint64_t TokenBucket::Add(uint64_t amount, Time now) {
  Refill(now);
  const uint64_t room = (m_capacity * kLevelScale - m_level) / kLevelScale;
  const uint64_t added = std::min(amount, room);
  m_level += added * kLevelScale;
  return added;
}

void TokenBucket::Clear(Time now) {
  m_level = 0;
  m_last_refill = std::max(m_last_refill, now);
}

uint64_t TokenBucket::Level(Time now) const {
  const uint64_t room = m_capacity * kLevelScale - m_level;
  return (m_level + RefillAmount(m_rate, now - m_last_refill, room)) /
         kLevelScale;
}

Duration TokenBucket::TimeUntil(uint64_t amount,
                                Duration limit,
                                Time now) const {
  const uint64_t level = Level(now);
  if (level >= amount) {
    return Duration::zero();
  }
  if (m_rate == 0) {
    return limit;
  }
  const uint64_t micros = (amount - level) * kLevelScale / m_rate + 1;
  return std::min(limit, Duration(static_cast<Duration::rep>(micros)));
}

void TokenBucket::Refill(Time now) {
  const uint64_t room = m_capacity * kLevelScale - m_level;
  m_level += RefillAmount(m_rate, now - m_last_refill, room);
  m_last_refill = std::max(m_last_refill, now);
}

}  // namespace jasminelug::core
