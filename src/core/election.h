#ifndef SRC_CORE_ELECTION_H_
#define SRC_CORE_ELECTION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/core/configuration.h"
#include "src/core/database_answer.h"
#include "src/core/group_view.h"
#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::core {

// One attempt by this instance to have a member promoted to primary. Collects
// the members' answers to its request to grant one term.
//
// First a majority of members grants the term. A member that has granted a term
// no longer accepts log entries or writes of lower terms. Then the member of
// that majority with the highest log position is chosen. Every acknowledged
// write is held by a majority, and any two majorities share a member, so at
// least one granting member held the write when it granted the term.
class Election {
 public:
  // `avoided` lists members to choose only if no other member is eligible.
  Election(Term term, Time started, std::set<MemberId> avoided)
      : m_term(term), m_started(started), m_avoided(std::move(avoided)) {}

  Term term() const { return m_term; }
  Time started() const { return m_started; }

  void RecordGrantAnswer(const MemberId& member, const GrantAnswer& answer);
  void OnFailure(const MemberId& member);

  // Returns the number of grants received so far.
  size_t GrantCount() const { return m_grants.size(); }

  // Returns whether all of the group's members have answered or failed, where
  // `members` is their number.
  bool IsComplete(size_t members) const {
    return m_grants.size() + m_refusals + m_failures == members;
  }

  // Returns whether any member refused the term, having granted it to another
  // candidate or having granted a higher term.
  bool IsRefused() const { return m_refusals > 0; }

  // Returns the member to promote; nullopt if no majority of the members in
  // `view` has granted the term.
  std::optional<Member> Choose(const GroupView& view) const;

 private:
  // Returns the number of granting members whose log ends at or before
  // `position`.
  size_t CountUpTo(const LogPosition& position) const;

  Term m_term;
  Time m_started;
  std::set<MemberId> m_avoided;
  std::map<MemberId, LogPosition> m_grants;
  size_t m_refusals = 0;
  size_t m_failures = 0;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_ELECTION_H_
