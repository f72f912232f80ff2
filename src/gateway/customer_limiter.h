#ifndef SRC_GATEWAY_CUSTOMER_LIMITER_H_
#define SRC_GATEWAY_CUSTOMER_LIMITER_H_

#include <map>
#include <vector>

#include "src/gateway/configuration.h"
#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// How much of a customer's operations reached one instance lately.
struct CustomerDemand {
  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;

  CustomerName m_customer;
  double m_operations_per_second = 0;
};

// Keeps each customer within this instance's share of its rate and burst.
//
// A token bucket for each customer holds the share; the shares of all instances
// add up to one, so the fleet as a whole keeps the limit. A new bucket holds
// little, so that restarts make few tokens.
//
// Answers the load of one customer that sends many times its rate: what is
// beyond the limit is refused before it takes any capacity.
class CustomerLimiter {
 public:
  // Takes over the limits of `configuration`; customers it lacks are forgotten.
  void SetLimits(const Configuration& configuration, Time now);

  // Sets this instance's share, 0 to 1, of one customer's limits.
  void SetShare(const CustomerName& customer, double share, Time now);

  // Sets the share of customers that SetShare() has not named.
  void SetDefaultShare(double share, Time now);

  // Takes one operation's token; false where the customer is over its limit.
  bool Take(const CustomerName& customer, Time now);

  // Returns the demand of each customer that has had any lately, refused
  // operations included.
  std::vector<CustomerDemand> Demand(Time now) const;

 private:
  struct Bucket {
    CustomerLimits m_limits;
    double m_share = 0;
    double m_tokens = 0;
    Time m_refilled;
    // Exponentially weighted operations, decayed up to m_counted.
    double m_recent_operations = 0;
    Time m_counted;
  };

  static void Refill(Bucket* bucket, Time now);
  static double Decayed(const Bucket& bucket, Time now);

  std::map<CustomerName, Bucket> m_buckets;
  double m_default_share = 1;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CUSTOMER_LIMITER_H_
