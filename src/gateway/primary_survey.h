#ifndef SRC_GATEWAY_PRIMARY_SURVEY_H_
#define SRC_GATEWAY_PRIMARY_SURVEY_H_

#include <map>
#include <optional>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/member_status.h"

namespace jasminelug::gateway {

// Finds out from the members' statuses which of them are the primaries.
//
// Serves the start of an epoch of the store, in which no record tells the
// primaries. See also: ReplacementCoordinator.
class PrimarySurvey {
 public:
  // Minimum time between two status requests to the same member, and time after
  // which members that did not answer are no longer waited for.
  static constexpr Duration kRequestInterval = 200ms;
  static constexpr Duration kTimeout = 1s;

  // Begins a survey, unless one is in progress.
  void Begin(Time now);

  // Ends the survey and forgets the statuses.
  void End() { m_began.reset(); }

  // Takes the status that a member reported to a request sent at `requested`,
  // unless that was before the survey began.
  void OnStatus(const MemberId& member,
                const MemberStatus& status,
                Time requested);

  bool is_in_progress() const { return m_began.has_value(); }

  // Returns whether all members have answered, or the time is over and at least
  // one of them has.
  bool IsOver(const std::vector<MemberId>& members, Time now) const;

  // Returns the members whose status has to be requested now.
  std::vector<MemberId> TakeDueRequests(const std::vector<MemberId>& members,
                                        Time now);

  // Returns which of the members of one group leads its newest term. Returns
  // nullopt if there is none, or if a member that did not answer may lead a
  // newer term.
  std::optional<MemberId> PrimaryOf(const std::vector<MemberId>& group) const;

 private:
  bool HaveAnswered(const std::vector<MemberId>& members) const;

  std::optional<Time> m_began;
  std::optional<Time> m_requested;
  std::map<MemberId, MemberStatus> m_statuses;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PRIMARY_SURVEY_H_
