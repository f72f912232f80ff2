#ifndef SRC_CORE_GROUP_VIEW_H_
#define SRC_CORE_GROUP_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/core/configuration.h"
#include "src/core/database_answer.h"
#include "src/core/ids.h"
#include "src/core/log_position.h"
#include "src/core/time.h"

namespace jasminelug::core {

// What this instance knows about one member of a database group.
struct MemberView {
  Member m_member;
  // The member's last status report, and when it was requested.
  std::optional<MemberStatus> m_status;
  Time m_status_asked;
  // Time of the last answer of any kind; nullopt if there was none.
  std::optional<Time> m_last_answer;
  // Start of the member's silence: the time of its last answer or of the last
  // call of GroupView::ResetSilence(), whichever is later.
  Time m_silent_since;
  // True if the latest call that failed since the last answer did so because
  // the member's address refused the connection.
  bool m_refused = false;
  // True if a call to the member has failed since its last answer.
  bool m_failed = false;
  // Log index up to which the member is known to have applied the log, so that
  // reads on it see these entries.
  uint64_t m_applied_index = 0;
};

// What this instance knows about a database group. Safety rests only on what
// the members themselves report; other sources only speed up the discovery of
// the primary.
class GroupView {
 public:
  explicit GroupView(Database database);

  // Applies a changed configuration. Members that remain configured keep what
  // is known about them.
  void SetDatabase(Database database);

  const Database& database() const { return m_database; }

  // The highest term that is known to have a primary, and that primary. The
  // primary is nullptr while none is known or while it is not a configured
  // member.
  Term term() const { return m_term; }
  const Member* Primary() const;

  // Records that `member` is the primary of `term`. Returns true if the term is
  // higher than the known one. Each term has at most one primary: a second one
  // violates the contract of the database group and fails an assertion.
  bool LearnPrimary(Term term, const MemberId& member);

  // Records a status report that was requested at `asked` and received at
  // `now`. Returns true if it revealed a primary of a higher term.
  bool OnStatus(const MemberId& member,
                const MemberStatus& status,
                Time asked,
                Time now);

  // Records an answer to a statement. Returns true if it revealed a primary of
  // a higher term.
  bool OnAnswer(const MemberId& member,
                const LogPosition& position,
                MemberRole role,
                Time now);

  // Records a term that a member has granted.
  void RecordGrantedTerm(Term term);

  void OnFailure(const MemberId& member, bool refused);

  // Restarts at `now` the time for which each member counts as silent, for
  // example after a pause of this process.
  void ResetSilence(Time now);

  const std::vector<MemberView>& members() const { return m_members; }
  const MemberView* Find(const MemberId& member) const;

  // Returns the number of members that form a majority.
  size_t majority() const { return m_members.size() / 2 + 1; }

  // Returns the highest term that any member is known to have granted.
  Term HighestGranted() const { return m_highest_granted; }

  // Returns the highest index up to which a majority of members holds the log
  // of `term`; 0 if there is none or `term` is not the current term. The
  // primary counts as holding every index, because it holds every entry that it
  // has acknowledged.
  uint64_t MajorityLogIndex(Term term) const;

  // Returns where the log of the current term starts; nullopt unless a majority
  // of members is known to hold that start.
  std::optional<TermLineage> ConfirmedLineage() const;

  // Returns whether `term` is the current term and a majority of members,
  // counting the primary, had granted no higher term at some time at or after
  // `since`. The other members' reports must have been requested at or after
  // `since`.
  bool HasMajorityAtTerm(Term term, Time since) const;

 private:
  MemberView* FindMutable(const MemberId& member);
  void RecordAnswer(MemberView* view, Time now);

  Database m_database;
  std::vector<MemberView> m_members;
  Term m_term;
  MemberId m_primary;
  Term m_highest_granted;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_GROUP_VIEW_H_
