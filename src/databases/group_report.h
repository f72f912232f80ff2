#ifndef SRC_DATABASES_GROUP_REPORT_H_
#define SRC_DATABASES_GROUP_REPORT_H_

#include <cstdint>

namespace jasminelug::databases {

// Number of the period during which one member is the primary. Each promotion
// begins a higher term.
using Term = std::uint64_t;

// An index into a group's log. Positions of different terms must not be
// compared.
using Position = std::uint64_t;

// The role that a member believes it has in its group.
enum class Role { kUnknown, kPrimary, kReplica };

// What a member reported with its last answer: after a commit, the term and
// position of that commit; otherwise the last ones that the member has applied.
// All fields are zero if the member reported nothing.
struct GroupReport {
  Term m_term = 0;
  Position m_position = 0;
  Role m_role = Role::kUnknown;

  bool operator==(const GroupReport&) const = default;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_GROUP_REPORT_H_
