#ifndef TEST_FAKE_DATABASE_MEMBER_SETTINGS_H_
#define TEST_FAKE_DATABASE_MEMBER_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "test/fake_database/numbers.h"

namespace jasminelug::fake_database {

// How one member of a group is set up.
struct MemberSettings {
  std::uint32_t m_member = 1;
  // Port 0 takes any that is free.
  Address m_listen = {"127.0.0.1", 0};
  // The other members, asked for the primary by a member that starts.
  std::vector<Address> m_peers;
  // The database's name.
  std::string m_group = "group";
  // How long after it has received an entry a replica applies it.
  std::chrono::milliseconds m_lag{0};
  // Connections that are not refused, replication apart.
  std::uint32_t m_connections = 20;
  // Statements that run at once.
  std::uint32_t m_slots = 3;
  // How long each statement holds its slot.
  std::chrono::microseconds m_service_time{0};
  // Whether the member starts as the primary of term 1. A member that
  // returns after a crash has lost its log and must start as a replica.
  bool m_primary = false;

  bool operator==(const MemberSettings&) const = default;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_MEMBER_SETTINGS_H_
