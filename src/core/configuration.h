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

// Which data a read under a profile may return.
enum class Consistency {
  // Data that includes every acknowledged write of every session.
  kStrong,
  // Data that includes at least the session's own writes.
  kSession,
  // Data that is no older than the profile's maximum staleness, and that
  // includes the session's own writes.
  kStale,
};

// A named set of limits that a service runs under.
struct Profile {
  ProfileName m_name;
  Consistency m_consistency = Consistency::kSession;
  // Maximum age of the data returned under Consistency::kStale.
  Duration m_max_staleness{};
  // Rate limit in statements per second, and burst in statements, of each
  // customer over all instances together.
  uint64_t m_rate_per_second = 0;
  uint64_t m_burst = 0;
  // If true, requests need no key, but may only read.
  bool m_open_to_all = false;
  // Maximum time that a request without a deadline of its own waits in queues.
  Duration m_queue_wait{};

  friend bool operator==(const Profile&, const Profile&) = default;
};

// A tenant, with the profiles and databases that its keys give access to.
struct Customer {
  CustomerName m_name;
  std::vector<ProfileName> m_profiles;
  std::vector<DatabaseName> m_databases;

  friend bool operator==(const Customer&, const Customer&) = default;
};

// A caller's key. Only the salted digest of the key is stored.
struct KeyGrant {
  KeyId m_id;
  CustomerName m_customer;
  // Hexadecimal SHA-256 of the salt followed by the whole key.
  std::string m_digest;
  std::string m_salt;
  bool m_withdrawn = false;

  friend bool operator==(const KeyGrant&, const KeyGrant&) = default;
};

// An availability zone. `m_out` is true while the zone is out of service and
// gets no new work.
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

// A database group and the limits on its use.
struct Database {
  DatabaseName m_name;
  std::vector<Member> m_members;
  // Maximum number of statements that run in the group at the same time.
  uint32_t m_slots = 0;
  // Maximum number of open connections to the group, summed over its members
  // and over all instances.
  uint32_t m_connections = 0;
  // True while the database is being taken out of service.
  bool m_leaving = false;

  friend bool operator==(const Database&, const Database&) = default;
};

// All configuration objects at one revision. Does not change once it is
// published.
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
