#ifndef SRC_GATEWAY_CUSTOMER_LIMITER_H_
#define SRC_GATEWAY_CUSTOMER_LIMITER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/configuration.h"
#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Rate of a customer's operations that recently reached one instance.
struct CustomerDemand {
  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;

  CustomerName m_customer;
  // Rate of requested operations, including refused ones.
  double m_operations_per_second = 0;
  double m_admitted_per_second = 0;
};

// This instance's share of one customer's limits.
struct CustomerShare {
  friend bool operator==(const CustomerShare&, const CustomerShare&) = default;

  // Fraction of the rate and of the burst, from 0 to 1.
  double m_fraction = 0;
  // Operations per second that all instances together admit. Unset if any
  // instance is unresponsive.
  std::optional<double> m_fleet_admitted;
  // Number of holders, the instances among which the limits are divided; 0 if
  // unknown.
  int m_holder_count = 0;
};

// Limits each customer to this instance's share of the customer's rate and
// burst.
//
// Each customer has a token bucket sized by the share. The shares of all
// instances add up to one, so the fleet as a whole keeps the limit. A new
// bucket starts with few tokens, so that restarts of instances create few
// tokens.
//
// While the fleet as a whole admits less than the rate, a bucket may be
// overdrawn slightly; its refill pays the overdraft back. Without this, callers
// that reach an instance for the first time would be refused because the
// instance has almost no share of their customer's limits yet.
//
// The limiter protects against a customer that sends many times its rate:
// operations beyond the limit are refused before they use any capacity.
class CustomerLimiter {
 public:
  // Applies the limits of `configuration` and removes the customers that it
  // does not contain.
  void SetLimits(const Configuration& configuration, Time now);

  // Sets this instance's share of one customer's limits.
  void SetShare(const CustomerName& customer,
                const CustomerShare& share,
                Time now);

  // Sets the number of instances that divide the limits. It bounds how many
  // tokens each instance may store or overdraw.
  void SetInstanceCount(int count) { m_instance_count = std::max(count, 1); }

  // Takes the token for one operation. Returns false if the customer is over
  // its limit.
  bool Take(const CustomerName& customer, Time now);

  // Returns the state that currently decides whether the customer's operations
  // are admitted, as text for a log.
  std::string Describe(const CustomerName& customer) const;

  // Returns the demand of each customer with recent operations, including
  // refused ones.
  std::vector<CustomerDemand> Demand(Time now) const;

 private:
  struct Bucket {
    CustomerLimits m_limits;
    CustomerShare m_share;
    double m_tokens = 0;
    Time m_refilled;
    // Exponentially decayed counts of operations, as of m_decayed_at.
    double m_recent_operations = 0;
    double m_recent_admitted = 0;
    Time m_decayed_at;
  };

  double CapacityOf(const Bucket& bucket) const;
  void Refill(Bucket* bucket, Time now) const;
  double Overdraft(const Bucket& bucket) const;
  static double Decay(const Bucket& bucket, Time now);

  std::map<CustomerName, Bucket> m_buckets;
  int m_instance_count = 1;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CUSTOMER_LIMITER_H_
