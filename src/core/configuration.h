#ifndef SRC_CORE_CONFIGURATION_H_
#define SRC_CORE_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// What reads of a profile may return.
enum class Consistency {
  // Every acknowledged write, of any session.
  kStrong,
  // At least the session's own writes.
  kSession,
  // Data of at most the profile's staleness, and the session's own writes.
  kStale,
};

// A named set of limits that a service runs under.
struct Profile {
  ProfileName m_name;
  Consistency m_consistency = Consistency::kSession;
  // Greatest age of data for Consistency::kStale.
  Duration m_max_staleness{};
  // Statements a second and burst, for each customer, over all instances.
  uint64_t m_rate_per_second = 0;
  uint64_t m_burst = 0;
  // Requests need no key and may only read.
  bool m_open_to_all = false;
  // Time a request waits in queues where it carries no deadline.
  Duration m_queue_wait{};

  friend bool operator==(const Profile&, const Profile&) = default;
};

// A tenant: which profiles and databases its keys give access to.
struct Customer {
  CustomerName m_name;
  std::vector<ProfileName> m_profiles;
  std::vector<DatabaseName> m_databases;

  friend bool operator==(const Customer&, const Customer&) = default;
};

// A caller's key: only its salted digest is kept.
struct KeyGrant {
  KeyId m_id;
  CustomerName m_customer;
  // Hexadecimal SHA-256 of salt and key.
  std::string m_digest;
  std::string m_salt;
  bool m_withdrawn = false;

  friend bool operator==(const KeyGrant&, const KeyGrant&) = default;
};

// An availability zone and whether it may get new work.
struct Zone {
  ZoneName m_name;
  bool m_out = false;

  friend bool operator==(const Zone&, const Zone&) = default;
};

// One member of a database group.
struct Member {
  MemberId m_id;
  Address m_address;
  ZoneName m_zone;

  friend auto operator<=>(const Member&, const Member&) = default;
};

// A database group and its budget.
struct Database {
  DatabaseName m_name;
  std::vector<Member> m_members;
  // Statements that the group runs at once.
  uint32_t m_slots = 0;
  // Connections that the group accepts, summed over members and instances.
  uint32_t m_connections = 0;
  bool m_leaving = false;

  friend bool operator==(const Database&, const Database&) = default;
};

// All configuration objects at one revision. Immutable once published.
struct Configuration {
  Revision m_revision;
  std::map<ProfileName, Profile> m_profiles;
  std::map<CustomerName, Customer> m_customers;
  std::map<KeyId, KeyGrant> m_keys;
  std::map<ZoneName, Zone> m_zones;
  std::map<DatabaseName, Database> m_databases;

  bool IsZoneOut(const ZoneName& zone) const {
    const auto found = m_zones.find(zone);
    return found != m_zones.end() && found->second.m_out;
  }

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIGURATION_H_
