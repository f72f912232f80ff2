#include "src/core/share_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace jasminelug::core {
namespace {

using Json = nlohmann::json;

// Component of an amount that a function works on.
using Component = uint64_t ShareAmount::*;

constexpr Component kComponents[] = {&ShareAmount::m_units,
                                     &ShareAmount::m_burst};

Json EncodeAmount(const ShareAmount& amount) {
  return Json::array({amount.m_units, amount.m_burst});
}

ShareAmount DecodeAmount(const Json& json) {
  return {json.at(0).get<uint64_t>(), json.at(1).get<uint64_t>()};
}

Json EncodeRow(const ShareRow& row) {
  return {{"instance", row.m_holder.m_instance.str()},
          {"incarnation", row.m_holder.m_incarnation.value()},
          {"series", row.m_holder.m_series},
          {"granted", EncodeAmount(row.m_granted)},
          {"confirmed", EncodeAmount(row.m_confirmed)},
          {"demand", row.m_demand}};
}

ShareRow DecodeRow(const Json& json) {
  ShareRow row;
  row.m_holder.m_instance = InstanceId(json.at("instance").get<std::string>());
  row.m_holder.m_incarnation =
      Incarnation(json.at("incarnation").get<uint64_t>());
  row.m_holder.m_series = json.at("series").get<uint64_t>();
  row.m_granted = DecodeAmount(json.at("granted"));
  row.m_confirmed = DecodeAmount(json.at("confirmed"));
  row.m_demand = json.at("demand").get<uint64_t>();
  return row;
}

ShareRow* FindMutableRow(ShareTable& table, const ShareHolderId& holder) {
  for (ShareRow& row : table.m_rows) {
    if (row.m_holder == holder) {
      return &row;
    }
  }
  return nullptr;
}

// Returns a * b / c for b <= c, rounded down, without overflow.
uint64_t Scale(uint64_t a, uint64_t b, uint64_t c) {
  if (c == 0) {
    return 0;
  }
  const long double scaled = static_cast<long double>(a) *
                             static_cast<long double>(b) /
                             static_cast<long double>(c);
  return std::min(a, static_cast<uint64_t>(scaled));
}

void LowerGrants(ShareTable& table, Component component, uint64_t limit) {
  uint64_t granted = 0;
  for (const ShareRow& row : table.m_rows) {
    granted += row.m_granted.*component;
  }
  if (granted <= limit) {
    return;
  }
  for (ShareRow& row : table.m_rows) {
    row.m_granted.*component = Scale(row.m_granted.*component, limit, granted);
  }
}

// Returns the grant that a row keeps when another holder needs more than its
// equal share: the demand of the row's holder plus a quarter, but at least
// `floor`.
uint64_t RetainedGrant(const ShareRow& row,
                       Component component,
                       uint64_t floor,
                       const ShareAmount& goal) {
  const uint64_t used = row.m_demand + row.m_demand / 4;
  if (component == &ShareAmount::m_units) {
    return std::max(floor, used);
  }
  // The burst is divided in proportion to the rate.
  return std::max(
      floor, Scale(goal.m_burst, std::min(used, goal.m_units), goal.m_units));
}

// Lowers the grants of other rows by up to `shortfall` in total, in proportion
// to the excess of each over the amount that it retains. Earlier reductions
// that the holders have not confirmed yet count towards it.
void LowerOthers(ShareTable& table,
                 const ShareHolderId& holder,
                 Component component,
                 uint64_t shortfall,
                 const std::function<uint64_t(const ShareRow&)>& retained_by) {
  uint64_t excess = 0;
  uint64_t pending = 0;
  for (const ShareRow& row : table.m_rows) {
    if (row.m_holder == holder) {
      continue;
    }
    const uint64_t granted = row.m_granted.*component;
    const uint64_t retained = retained_by(row);
    excess += granted > retained ? granted - retained : 0;
    const uint64_t confirmed = row.m_confirmed.*component;
    pending += confirmed > granted ? confirmed - granted : 0;
  }
  if (shortfall <= pending || excess == 0) {
    return;
  }
  const uint64_t reduction = std::min(shortfall - pending, excess);
  uint64_t remaining = reduction;
  for (ShareRow& row : table.m_rows) {
    const uint64_t retained = retained_by(row);
    if (row.m_holder == holder || row.m_granted.*component <= retained) {
      continue;
    }
    // Rounded up, because small integer shares would otherwise never change.
    const uint64_t above = row.m_granted.*component - retained;
    const uint64_t cut =
        std::min({above, remaining, Scale(above, reduction, excess) + 1});
    row.m_granted.*component -= cut;
    remaining -= cut;
  }
}

// Returns whether the holder of another row uses nearly all that it is granted
// or needs more.
bool IsOtherShort(const ShareTable& table, const ShareHolderId& holder) {
  return std::any_of(table.m_rows.begin(), table.m_rows.end(),
                     [&holder](const ShareRow& row) {
                       const uint64_t granted = row.m_granted.m_units;
                       return row.m_holder != holder && row.m_demand > 0 &&
                              row.m_demand > granted - granted / 8;
                     });
}

// Returns whether another row is granted less than an equal share.
bool IsOtherBelow(const ShareTable& table,
                  const ShareHolderId& holder,
                  Component component,
                  uint64_t equal_share) {
  return std::any_of(table.m_rows.begin(), table.m_rows.end(),
                     [&holder, component, equal_share](const ShareRow& row) {
                       return row.m_holder != holder &&
                              row.m_granted.*component < equal_share;
                     });
}

void ClaimComponent(ShareTable& table,
                    ShareRow& own,
                    Component component,
                    const ShareRequest& request,
                    uint64_t free) {
  const uint64_t requested = request.m_requested.*component;
  uint64_t& granted = own.m_granted.*component;
  uint64_t& confirmed = own.m_confirmed.*component;
  if (requested < granted) {
    granted = requested;
    return;
  }
  if (granted != confirmed) {
    return;
  }
  // If another holder is short, a holder without extra demand takes no more
  // than its entitlement, to leave the free amount to the other.
  const uint64_t entitlement = request.m_entitlement.*component;
  const bool yields_to_others =
      !request.m_idle_floor && IsOtherShort(table, own.m_holder);
  uint64_t limit =
      yields_to_others ? std::min(requested, entitlement) : requested;
  const uint64_t equal_share = request.m_equal_share.*component;
  if (!request.m_idle_floor && limit > equal_share &&
      IsOtherBelow(table, own.m_holder, component, equal_share)) {
    limit = equal_share;
  }
  if (granted < limit) {
    granted += std::min(limit - granted, free);
    confirmed = granted;
  }
  const uint64_t fair_entitlement = std::min(entitlement, equal_share);
  if (granted < fair_entitlement) {
    LowerOthers(table, own.m_holder, component, fair_entitlement - granted,
                [equal_share](const ShareRow&) { return equal_share; });
  }
  if (request.m_idle_floor && granted < entitlement) {
    const uint64_t floor = (*request.m_idle_floor).*component;
    LowerOthers(table, own.m_holder, component, entitlement - granted,
                [&table, component, floor](const ShareRow& row) {
                  return RetainedGrant(row, component, floor, table.m_goal);
                });
  }
}

}  // namespace

ShareAmount operator+(const ShareAmount& a, const ShareAmount& b) {
  return {a.m_units + b.m_units, a.m_burst + b.m_burst};
}

ShareAmount SubtractOrZero(const ShareAmount& a, const ShareAmount& b) {
  return {a.m_units - std::min(a.m_units, b.m_units),
          a.m_burst - std::min(a.m_burst, b.m_burst)};
}

ShareAmount ComponentMin(const ShareAmount& a, const ShareAmount& b) {
  return {std::min(a.m_units, b.m_units), std::min(a.m_burst, b.m_burst)};
}

ShareAmount ComponentMax(const ShareAmount& a, const ShareAmount& b) {
  return {std::max(a.m_units, b.m_units), std::max(a.m_burst, b.m_burst)};
}

bool FitsIn(const ShareAmount& a, const ShareAmount& b) {
  return a.m_units <= b.m_units && a.m_burst <= b.m_burst;
}

bool IsEarlier(const ShareHolderId& a, const ShareHolderId& b) {
  return a.m_instance == b.m_instance && a < b;
}

std::string EncodeShareTable(const ShareTable& table) {
  Json rows = Json::array();
  for (const ShareRow& row : table.m_rows) {
    rows.push_back(EncodeRow(row));
  }
  const Json json = {{"total", EncodeAmount(table.m_total)},
                     {"goal", EncodeAmount(table.m_goal)},
                     {"goal_revision", table.m_goal_revision.value()},
                     {"rows", std::move(rows)}};
  return json.dump();
}

std::optional<ShareTable> DecodeShareTable(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    ShareTable table;
    table.m_total = DecodeAmount(json.at("total"));
    table.m_goal = DecodeAmount(json.at("goal"));
    table.m_goal_revision = Revision(json.at("goal_revision").get<uint64_t>());
    for (const Json& row : json.at("rows")) {
      table.m_rows.push_back(DecodeRow(row));
    }
    return table;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

ShareAmount SumOfRows(const ShareTable& table) {
  ShareAmount sum;
  for (const ShareRow& row : table.m_rows) {
    sum = sum + ComponentMax(row.m_granted, row.m_confirmed);
  }
  return sum;
}

bool IsWithinTotal(const ShareTable& table) {
  return FitsIn(SumOfRows(table), table.m_total);
}

const ShareRow* FindRow(const ShareTable& table, const ShareHolderId& holder) {
  for (const ShareRow& row : table.m_rows) {
    if (row.m_holder == holder) {
      return &row;
    }
  }
  return nullptr;
}

ShareTable SetGoal(ShareTable table,
                   const ShareAmount& goal,
                   Revision revision) {
  if (goal == table.m_goal || revision <= table.m_goal_revision) {
    return table;
  }
  table.m_goal = goal;
  table.m_goal_revision = revision;
  for (const Component component : kComponents) {
    LowerGrants(table, component, goal.*component);
  }
  return UpdateTotal(std::move(table));
}

ShareTable UpdateTotal(ShareTable table) {
  table.m_total = ComponentMax(table.m_goal, SumOfRows(table));
  return table;
}

ShareTable Claim(ShareTable table,
                 const ShareHolderId& holder,
                 const ShareRequest& request,
                 const ShareAmount& free) {
  const ShareRow* known = FindRow(table, holder);
  if (request.m_requested.empty() &&
      (known == nullptr || known->m_confirmed.empty())) {
    return RemoveRows(std::move(table), [&holder](const ShareHolderId& id) {
      return id == holder;
    });
  }
  if (known == nullptr) {
    table.m_rows.push_back({holder, {}, {}, 0});
  }
  ShareRow own = *FindMutableRow(table, holder);
  for (const Component component : kComponents) {
    ClaimComponent(table, own, component, request, free.*component);
  }
  own.m_demand = request.m_demand;
  *FindMutableRow(table, holder) = own;
  return table;
}

ShareAmount FreeAmount(const ShareTable& table) {
  return SubtractOrZero(ComponentMin(table.m_total, table.m_goal),
                        SumOfRows(table));
}

ShareAmount UngrantedAmount(const ShareTable& table) {
  ShareAmount granted;
  for (const ShareRow& row : table.m_rows) {
    granted = granted + row.m_granted;
  }
  return SubtractOrZero(table.m_goal, granted);
}

ShareTable Confirm(ShareTable table, const ShareHolderId& holder) {
  ShareRow* row = FindMutableRow(table, holder);
  if (row == nullptr) {
    return table;
  }
  row->m_confirmed = row->m_granted;
  if (row->m_granted.empty()) {
    return RemoveRows(std::move(table), [&holder](const ShareHolderId& id) {
      return id == holder;
    });
  }
  return table;
}

ShareTable RemoveRows(
    ShareTable table,
    const std::function<bool(const ShareHolderId&)>& should_remove) {
  std::erase_if(table.m_rows, [&should_remove](const ShareRow& row) {
    return should_remove(row.m_holder);
  });
  return table;
}

}  // namespace jasminelug::core
