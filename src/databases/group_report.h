#ifndef SRC_DATABASES_GROUP_REPORT_H_
#define SRC_DATABASES_GROUP_REPORT_H_

#include <cstdint>

namespace jasminelug::databases {

// The number of a primary's reign; each promotion takes a higher one.
using Term = std::uint64_t;

// An index into a group's log. Positions of different terms are not compared.
using Position = std::uint64_t;

// What a member believes that it is in its group.
enum class Role { kUnknown, kPrimary, kReplica };

// What a member reported with its last answer. After a commit, the term and
// position of that commit; otherwise those that the member has applied.
// Zeros where the member reports nothing.
struct GroupReport {
  Term m_term = 0;
  Position m_position = 0;
  Role m_role = Role::kUnknown;

  bool operator==(const GroupReport&) const = default;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_GROUP_REPORT_H_
