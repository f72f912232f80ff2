#include "src/databases/member.h"

#include <utility>

#include "src/databases/internal/row_reader.h"

namespace jasminelug::databases {
namespace {

using internal::RowReader;

MemberStatus ReadStatus(RowReader& row) {
  MemberStatus status;
  status.m_granted_term = row.Number("granted_term");
  status.m_term = row.Number("term");
  status.m_received_position = row.Number("received_position");
  status.m_applied_position = row.Number("applied_position");
  status.m_role = row.RoleOf("role");
  status.m_primary_term = row.Number("primary_term");
  if (!row.IsNull("last_contact_ms")) {
    status.m_last_contact =
        std::chrono::milliseconds(row.Number("last_contact_ms"));
  }
  status.m_term_start = row.Number("term_start");
  status.m_previous_term = row.Number("previous_term");
  status.m_connections = static_cast<std::uint32_t>(row.Number("connections"));
  return status;
}

GrantAnswer ReadGrant(RowReader& row) {
  GrantAnswer answer;
  answer.m_granted = row.Bool("granted");
  answer.m_granted_term = row.Number("granted_term");
  answer.m_term = row.Number("term");
  answer.m_received_position = row.Number("received_position");
  return answer;
}

PromoteAnswer ReadPromote(RowReader& row) {
  return {row.Number("term"), row.Number("position")};
}

FollowAnswer ReadFollow(RowReader& row) {
  return {row.Number("term")};
}

// Returns a hook that parses the single row of an answer with `read` and passes
// the value, or the error, to `hook`.
template <typename T>
Connection::StatementHook ReadingHook(T (*read)(RowReader&),
                                      Member::Hook<T> hook) {
  return [read, hook = std::move(hook)](const StatementOutcome& outcome) {
    if (const Error* error = std::get_if<Error>(&outcome)) {
      hook(*error);
      return;
    }
    RowReader row(std::get<StatementResult>(outcome));
    const T value = read(row);
    if (row.IsValid()) {
      hook(value);
      return;
    }
    Error error;
    error.m_kind = ErrorKind::kUnexpectedAnswer;
    error.m_message = "the row lacks a column or holds a malformed value";
    hook(error);
  };
}

}  // namespace

Member::Member(std::shared_ptr<Connection> connection)
    : m_connection(std::move(connection)) {}

void Member::Status(Timeout timeout, Hook<MemberStatus> hook) const {
  m_connection->Run({"SELECT * FROM group_status()", {}}, timeout,
                    ReadingHook(ReadStatus, std::move(hook)));
}

void Member::Grant(Term term,
                   const std::string& candidate,
                   Timeout timeout,
                   Hook<GrantAnswer> hook) const {
  m_connection->Run(
      {"SELECT * FROM group_grant($1, $2)", {std::to_string(term), candidate}},
      timeout, ReadingHook(ReadGrant, std::move(hook)));
}

void Member::Promote(Term term,
                     Timeout timeout,
                     Hook<PromoteAnswer> hook) const {
  m_connection->Run({"SELECT * FROM group_promote($1)", {std::to_string(term)}},
                    timeout, ReadingHook(ReadPromote, std::move(hook)));
}

void Member::Follow(Term term,
                    const std::string& address,
                    Timeout timeout,
                    Hook<FollowAnswer> hook) const {
  m_connection->Run(
      {"SELECT * FROM group_follow($1, $2)", {std::to_string(term), address}},
      timeout, ReadingHook(ReadFollow, std::move(hook)));
}

}  // namespace jasminelug::databases
