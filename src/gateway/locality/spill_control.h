#ifndef SRC_GATEWAY_LOCALITY_SPILL_CONTROL_H_
#define SRC_GATEWAY_LOCALITY_SPILL_CONTROL_H_

#include <cstdint>
#include <optional>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// What a statement can expect from the members of its own region, and from
// those of the other regions.
struct SpillInput {
  friend bool operator==(const SpillInput&, const SpillInput&) = default;

  // Time to an answer in the own region, including the wait for a slot. Unset
  // if no member there can serve the statement, now or later.
  std::optional<Duration> m_near;
  // Whether a member of the own region could run the statement now.
  bool m_near_is_free = false;
  // Time to an answer in another region, including the distance. Unset if no
  // member there could run the statement now.
  std::optional<Duration> m_far;
  // Time within which a statement should be answered, and the part of it that
  // this one has left.
  Duration m_objective{0};
  Duration m_time_left{0};
  // Whether the statement has its turn, because it was not considered during
  // the last kStepInterval.
  bool m_has_turn = true;
};

// Where a statement goes.
enum class SpillChoice {
  kNear,  // To a member of the own region.
  kFar,   // To a member of another region.
  kWait,  // It waits for a member of the own region.
};

// Decides which statements of one group leave the region, and how many.
//
// Serves callers whose region has too few members for their load, while the
// link to the other region is slow, shared and paid for by the byte. Leaving
// pays once the own region is expected to use up a good part of the objective
// and the other region is expected to answer earlier, its distance included. A
// statement that only the other region can serve, or can serve in time, leaves
// regardless.
//
// While leaving pays, the part of the statements that leave grows by small
// steps, and shrinks again once it does not. A full region therefore sends what
// the other one takes, and no more: the answers from there become slower with
// what is sent, and end the growth. Two regions that are both full keep their
// statements.
class SpillControl {
 public:
  // Part of the objective that the own region must be expected to use up before
  // leaving pays. Earlier, the caller gains nothing from a faster answer.
  static constexpr int kObjectiveDivisor = 8;
  // By how much the other region must be faster, as a part of the time that the
  // own region needs. Keeps two equally loaded regions from exchanging
  // statements.
  static constexpr int kGainDivisor = 4;
  // Pause between two changes of the part that leaves, and the size of one, in
  // percent.
  static constexpr Duration kStepInterval = 100ms;
  static constexpr int kStepPercent = 10;
  // Maximum of the part, in percent. The other statements show when the own
  // region has recovered.
  static constexpr int kMaxPercent = 90;

  // Returns where a statement goes that could be placed at `now`.
  SpillChoice Choose(const SpillInput& input, Time now);

  // Lets the part shrink while no statement calls Choose().
  void OnTick(Time now);

  // Part of the statements that may leave the region, in percent.
  int percent() const { return m_percent; }
  // What the last statement could expect that had a member in its own region.
  const SpillInput& last_input() const { return m_last_input; }
  // Number of statements that left because it paid, and of those that only
  // another region could serve in time.
  std::uint64_t left() const { return m_left; }
  std::uint64_t left_for_lack() const { return m_left_for_lack; }

 private:
  static bool Pays(const SpillInput& input);
  static bool MustLeave(const SpillInput& input);
  void Step(bool pays, Time now);
  bool TakeTurn();

  int m_percent = 0;
  // What the statements since the last one that left add up to, in percent.
  int m_due_percent = 0;
  Time m_stepped;
  // When leaving paid last.
  Time m_paid;
  SpillInput m_last_input;
  std::uint64_t m_left = 0;
  std::uint64_t m_left_for_lack = 0;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_LOCALITY_SPILL_CONTROL_H_
