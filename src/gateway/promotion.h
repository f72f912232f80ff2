#ifndef SRC_GATEWAY_PROMOTION_H_
#define SRC_GATEWAY_PROMOTION_H_

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// A request to the platform to make a member the primary of its group.
struct PromotionOrder {
  friend bool operator==(const PromotionOrder&,
                         const PromotionOrder&) = default;

  // The instance that coordinates the replacement.
  InstanceId m_coordinator;
  // Increases whenever another instance becomes the coordinator.
  Revision m_fencing_token;
  GroupName m_group;
  MemberId m_candidate;
};

// Result of a promotion order.
enum class PromotionResult {
  kDone,         // The candidate leads the next term within the promotion time.
  kRefused,      // The candidate is not running.
  kUnavailable,  // Nothing was done; a retry may succeed.
  kUnknown,      // No answer; the order may have been carried out.
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PROMOTION_H_
