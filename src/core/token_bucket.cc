#include "src/core/token_bucket.h"

#include <algorithm>

namespace jasminelug::core {
namespace {

constexpr uint64_t kFine = 1'000'000;

// Returns the refill of `elapsed` in fine units, at most `room`. The division
// comes first, so the product cannot overflow.
uint64_t RefillOf(uint64_t rate, Duration elapsed, uint64_t room) {
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
  m_level = std::min(m_level, capacity * kFine);
}

bool TokenBucket::Take(uint64_t amount, Time now) {
  Refill(now);
  if (m_level < amount * kFine) {
    return false;
  }
  m_level -= amount * kFine;
  return true;
}

uint64_t TokenBucket::Add(uint64_t amount, Time now) {
  Refill(now);
  const uint64_t room = (m_capacity * kFine - m_level) / kFine;
  const uint64_t added = std::min(amount, room);
  m_level += added * kFine;
  return added;
}

void TokenBucket::Clear(Time now) {
  m_level = 0;
  m_refilled = std::max(m_refilled, now);
}

uint64_t TokenBucket::Level(Time now) const {
  const uint64_t room = m_capacity * kFine - m_level;
  return (m_level + RefillOf(m_rate, now - m_refilled, room)) / kFine;
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
  const uint64_t micros = (amount - level) * kFine / m_rate + 1;
  return std::min(limit, Duration(static_cast<Duration::rep>(micros)));
}

void TokenBucket::Refill(Time now) {
  const uint64_t room = m_capacity * kFine - m_level;
  m_level += RefillOf(m_rate, now - m_refilled, room);
  m_refilled = std::max(m_refilled, now);
}

}  // namespace jasminelug::core
