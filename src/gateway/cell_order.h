#ifndef SRC_GATEWAY_CELL_ORDER_H_
#define SRC_GATEWAY_CELL_ORDER_H_

#include <tuple>

#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// Returns whether instance `a` comes before `b` in the order of their cell.
// Duties that one instance carries out for its cell fall to the first live one.
// Instances with more processors come first, because these duties take
// processor time that grows with the cell.
inline bool IsBeforeInCell(const InstanceEntry& a, const InstanceEntry& b) {
  return std::make_tuple(-a.m_processors, a.m_id.str()) <
         std::make_tuple(-b.m_processors, b.m_id.str());
}

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CELL_ORDER_H_
