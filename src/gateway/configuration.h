#ifndef SRC_GATEWAY_CONFIGURATION_H_
#define SRC_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "src/gateway/ids.h"

namespace jasminelug::gateway {

// Commits that the reads of a route must see.
enum class Consistency {
  kPrimary,           // Every acknowledged commit.
  kBoundedStaleness,  // Commits acknowledged before the staleness limit.
  kReadYourWrites,    // These, and all commits of the same session.
};

// Defines how the statements of one database are served.
struct Route {
  friend bool operator==(const Route&, const Route&) = default;

  GroupName m_group;
  Consistency m_consistency = Consistency::kPrimary;
  // Maximum age of what a read returns: a read may miss only commits that were
  // acknowledged less than this time before it.
  Duration m_max_staleness{0};
  // Time after which a statement is given up.
  Duration m_statement_timeout = 1s;
  // Time within which an operation is to be answered. A statement that is not
  // expected to meet it is refused.
  Duration m_objective = 1s;
  // Priority in the queue; 0 is the highest.
  int m_priority = 0;
  // Callers may use the route without a key.
  bool m_public = false;
};

// Limits of a database group.
struct GroupLimits {
  friend bool operator==(const GroupLimits&, const GroupLimits&) = default;

  // Connections that one member accepts from all instances together.
  int m_max_connections = 1;
  // Number of replicas that must hold a commit before it is acknowledged.
  int m_sync_replicas = 0;
};

// Limits of a customer over all instances together.
struct CustomerLimits {
  friend bool operator==(const CustomerLimits&,
                         const CustomerLimits&) = default;

  double m_operations_per_second = 0;
  double m_burst_operations = 0;
  // Priority of the customer; 0 is the highest.
  int m_priority = 0;
};

// One complete version of the operators' configuration.
struct Configuration {
  friend bool operator==(const Configuration&, const Configuration&) = default;

  // Version number that the operators assign; it increases.
  std::int64_t m_version = 0;
  // Revision of this configuration in the store.
  Revision m_revision;
  std::unordered_map<DatabaseName, Route> m_routes;
  std::map<GroupName, GroupLimits> m_groups;
  std::map<CustomerName, CustomerLimits> m_customers;
  std::unordered_map<CallerKey, CustomerName> m_keys;
  // A transaction may be ended after it has been idle for this time.
  Duration m_transaction_idle_limit = 3s;
};

// Returns whether a configuration that was read takes the place of `current`,
// the one in force; null if there is none. The version decides, not the
// revision: a store that was restored may hold an older version at a newer
// revision. The same version at a newer revision was only written again.
inline bool Supersedes(const Configuration& read,
                       const Configuration* current) {
  return !current || std::pair(read.m_version, read.m_revision) >
                         std::pair(current->m_version, current->m_revision);
}

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_CONFIGURATION_H_
