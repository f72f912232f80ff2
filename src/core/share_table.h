#ifndef SRC_CORE_SHARE_TABLE_H_
#define SRC_CORE_SHARE_TABLE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/core/ids.h"

namespace jasminelug::core {

// An amount of a resource. For an allowance, m_units is the rate in
// millicredits per second and m_burst the burst in millicredits. For a
// database, m_units is the number of connections and m_burst is 0.
struct ShareAmount {
  uint64_t m_units = 0;
  uint64_t m_burst = 0;

  bool empty() const { return m_units == 0 && m_burst == 0; }

  friend bool operator==(const ShareAmount&, const ShareAmount&) = default;
};

ShareAmount operator+(const ShareAmount& a, const ShareAmount& b);
// Returns a - b for each component, or 0 where b is greater.
ShareAmount SubtractOrZero(const ShareAmount& a, const ShareAmount& b);
ShareAmount ComponentMin(const ShareAmount& a, const ShareAmount& b);
ShareAmount ComponentMax(const ShareAmount& a, const ShareAmount& b);
// Returns whether each component of `a` is at most that of `b`.
bool FitsIn(const ShareAmount& a, const ShareAmount& b);

// Identifies an uninterrupted series of lease renewals by one process of an
// instance.
struct ShareHolderId {
  InstanceId m_instance;
  Incarnation m_incarnation;
  uint64_t m_series = 0;

  friend auto operator<=>(const ShareHolderId&, const ShareHolderId&) = default;
};

// Returns whether `a` and `b` are the same instance and `a` is an earlier
// holder.
bool IsEarlier(const ShareHolderId& a, const ShareHolderId& b);

// The share of one holder.
struct ShareRow {
  ShareHolderId m_holder;
  // Amount that the holder may use from now on. Any instance may lower it.
  ShareAmount m_granted;
  // Upper bound of what the holder may still be using. Only the holder changes
  // it.
  ShareAmount m_confirmed;
  // Use per second that the holder reported last.
  uint64_t m_demand = 0;

  friend bool operator==(const ShareRow&, const ShareRow&) = default;
};

// The shares of one resource. Invariant: the sum over the rows of max(granted,
// confirmed) never exceeds m_total.
struct ShareTable {
  // Upper bound of the sum that is in force.
  ShareAmount m_total;
  // Upper bound that the configuration specifies; m_total moves towards it.
  ShareAmount m_goal;
  // Revision of the configuration that m_goal comes from.
  Revision m_goal_revision;
  std::vector<ShareRow> m_rows;

  friend bool operator==(const ShareTable&, const ShareTable&) = default;
};

// The share that a holder requests from a table.
struct ShareRequest {
  // Equal share of the goal.
  ShareAmount m_equal_share;
  // Amount up to which the holder grows from what is free.
  ShareAmount m_requested;
  // Amount up to which the holder also lowers the grants of rows above
  // m_equal_share. It is less than m_equal_share for an instance with little
  // use, and more than m_equal_share only if m_idle_floor is set.
  ShareAmount m_entitlement;
  // Set if the holder needs more than m_equal_share. It then also lowers grants
  // that other holders do not use, but never below this floor.
  std::optional<ShareAmount> m_idle_floor;
  uint64_t m_demand = 0;

  friend bool operator==(const ShareRequest&, const ShareRequest&) = default;
};

std::string EncodeShareTable(const ShareTable& table);

// Returns the table, or nullopt if the value is malformed. Does not check the
// invariant; see IsWithinTotal.
std::optional<ShareTable> DecodeShareTable(const std::string& value);

// Returns the sum over the rows of max(granted, confirmed).
ShareAmount SumOfRows(const ShareTable& table);

// Returns whether the table satisfies its invariant.
bool IsWithinTotal(const ShareTable& table);

const ShareRow* FindRow(const ShareTable& table, const ShareHolderId& holder);

// Sets the goal if it differs and `revision` is later than that of the current
// goal. If the grants sum to more than the new goal, lowers all of them in
// proportion.
ShareTable SetGoal(ShareTable table,
                   const ShareAmount& goal,
                   Revision revision);

// Moves the total towards the goal: upwards at once, downwards as far as the
// rows allow.
ShareTable UpdateTotal(ShareTable table);

// Grows the holder's row from what is free, or lowers it to what is requested.
// If too little is free, lowers the grants of other rows. `free` is
// FreeAmount(table).
ShareTable Claim(ShareTable table,
                 const ShareHolderId& holder,
                 const ShareRequest& request,
                 const ShareAmount& free);

// Returns the amount within the goal that no row holds.
ShareAmount FreeAmount(const ShareTable& table);

// Returns the amount that no row is granted, even if a holder has not yet
// confirmed its lower grant and may still use it. Claiming this amount breaks
// the invariant; it exists for the test that shows this.
ShareAmount UngrantedAmount(const ShareTable& table);

// Records that the holder uses no more than it is granted. Removes the row if
// the grant is empty.
ShareTable Confirm(ShareTable table, const ShareHolderId& holder);

// Removes the rows for whose holders `should_remove` returns true.
ShareTable RemoveRows(
    ShareTable table,
    const std::function<bool(const ShareHolderId&)>& should_remove);

}  // namespace jasminelug::core

#endif  // SRC_CORE_SHARE_TABLE_H_
