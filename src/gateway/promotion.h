#ifndef SRC_GATEWAY_PROMOTION_H_
#define SRC_GATEWAY_PROMOTION_H_

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// An order to the platform to make a member the primary.
struct PromotionOrder {
  friend bool operator==(const PromotionOrder&,
                         const PromotionOrder&) = default;

  // The instance that holds the duty.
  InstanceId m_coordinator;
  // Grows whenever the duty passes to another instance.
  Revision m_fencing_token;
  GroupName m_group;
  MemberId m_candidate;
};

// What the platform made of an order.
enum class PromotionResult {
  kDone,         // The candidate leads the next term within the promotion time.
  kRefused,      // The candidate is not running.
  kUnavailable,  // Nothing was done; a retry may succeed.
  kUnknown,      // No answer; it may have been carried out.
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PROMOTION_H_
