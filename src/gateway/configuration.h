#ifndef SRC_GATEWAY_CONFIGURATION_H_
#define SRC_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// What a route's reads must see.
enum class Consistency {
  kPrimary,           // Every acknowledged commit.
  kBoundedStaleness,  // Commits acknowledged before the staleness limit.
  kReadYourWrites,    // These, and all commits of the same session.
};

// How the statements of one database are served.
struct Route {
  friend bool operator==(const Route&, const Route&) = default;

  GroupName m_group;
  Consistency m_consistency = Consistency::kPrimary;
  // Reads may lack commits that were acknowledged later than this before them.
  Duration m_max_staleness{0};
  // Limit on one statement.
  Duration m_statement_timeout = 1s;
  // Objective for a whole operation.
  Duration m_objective = 1s;
  // 0 is the highest.
  int m_priority = 0;
  // Open to callers without a key.
  bool m_public = false;
};

// Limits of a database group.
struct GroupLimits {
  friend bool operator==(const GroupLimits&, const GroupLimits&) = default;

  // Connections that one member takes from all instances together.
  int m_max_connections = 1;
  // Replicas that hold a commit before it is acknowledged.
  int m_sync_replicas = 0;
};

// What a customer may ask for, over all instances.
struct CustomerLimits {
  friend bool operator==(const CustomerLimits&,
                         const CustomerLimits&) = default;

  double m_operations_per_second = 0;
  double m_burst_operations = 0;
  // 0 is the highest.
  int m_priority = 0;
};

// One version of the operators' configuration, whole.
struct Configuration {
  friend bool operator==(const Configuration&, const Configuration&) = default;

  // The operators' own number; it grows.
  std::int64_t m_version = 0;
  // The store's revision of it.
  Revision m_revision;
  std::unordered_map<DatabaseName, Route> m_routes;
  std::map<GroupName, GroupLimits> m_groups;
  std::map<CustomerName, CustomerLimits> m_customers;
  std::unordered_map<CallerKey, CustomerName> m_keys;
  // A transaction that is idle for longer may be ended.
  Duration m_transaction_idle_limit = 3s;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CONFIGURATION_H_
