#ifndef SRC_DATABASES_MEMBER_H_
#define SRC_DATABASES_MEMBER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/common/result.h"
#include "src/databases/connection.h"
#include "src/databases/error.h"
#include "src/databases/group_report.h"

namespace jasminelug::databases {

// The status that a member reports about itself; see docs/ASSUMPTIONS.md, A7.
struct MemberStatus {
  Term m_granted_term = 0;
  // The term of its log's last entry.
  Term m_term = 0;
  Position m_received_position = 0;
  Position m_applied_position = 0;
  Role m_role = Role::kUnknown;
  // The term in which the member is the primary or follows it.
  Term m_primary_term = 0;
  // The age of the member's data; none if the data was never up to date.
  std::optional<std::chrono::milliseconds> m_last_contact;
  // The position at which m_term began.
  Position m_term_start = 0;
  // The term of the log entry before m_term_start; 0 if there is none.
  Term m_previous_term = 0;
  std::uint32_t m_connections = 0;

  bool operator==(const MemberStatus&) const = default;
};

// The answer to a request for a term; see docs/ASSUMPTIONS.md, A8.
struct GrantAnswer {
  bool m_granted = false;
  Term m_granted_term = 0;
  Term m_term = 0;
  Position m_received_position = 0;

  bool operator==(const GrantAnswer&) const = default;
};

// The term of a promoted member and the position at which it began; see
// docs/ASSUMPTIONS.md, A9.
struct PromoteAnswer {
  Term m_term = 0;
  Position m_position = 0;

  bool operator==(const PromoteAnswer&) const = default;
};

// The term that a member now follows; see docs/ASSUMPTIONS.md, A10.
struct FollowAnswer {
  Term m_term = 0;

  bool operator==(const FollowAnswer&) const = default;
};

// Runs the administrative calls of a member on a connection, which must be
// idle. Errors: those of Connection, and kUnexpectedAnswer if the rows of the
// answer do not have the expected columns.
class Member {
 public:
  using Timeout = Connection::Timeout;
  template <typename T>
  using Hook = std::function<void(const Result<T, Error>&)>;

  explicit Member(std::shared_ptr<Connection> connection);

  void Status(Timeout timeout, Hook<MemberStatus> hook) const;

  // Asks the member to grant `term` to `candidate`, a name that is unique to
  // one attempt.
  void Grant(Term term,
             const std::string& candidate,
             Timeout timeout,
             Hook<GrantAnswer> hook) const;

  // Makes the member the primary of `term`, which it must have granted.
  void Promote(Term term, Timeout timeout, Hook<PromoteAnswer> hook) const;

  // Makes the member a replica of `term`'s primary at `address` ("ip:port").
  void Follow(Term term,
              const std::string& address,
              Timeout timeout,
              Hook<FollowAnswer> hook) const;

 private:
  std::shared_ptr<Connection> m_connection;
};

}  // namespace jasminelug::databases

#endif  // SRC_DATABASES_MEMBER_H_
