#ifndef SRC_GATEWAY_MEMBER_TABLE_H_
#define SRC_GATEWAY_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/gateway/ids.h"
#include "src/gateway/member.h"

namespace jasminelug::gateway {

// A member and what this instance has observed about it.
struct MemberState {
  Member m_member;
  // Nothing is sent to the member before this time.
  Time m_unavailable_until;
  // No further connection to the member is opened before this time.
  Time m_no_connecting_until;
  // Number of failed connection attempts since the last success.
  int m_failures = 0;
  // Smoothed time between sending a statement and receiving its answer.
  Duration m_turnaround{0};
  // When m_turnaround was last updated or confirmed.
  Time m_measured;
  // Largest age of a position that the replica recently reported as missing.
  // See NoteLagging().
  Duration m_lag{0};
  Time m_lag_seen;
  // Number of this instance's connections to the member, and how many of them
  // are in use.
  int m_connections = 0;
  int m_busy = 0;
  // Last time the member sent an answer or accepted a connection.
  Time m_last_contact;
  // Last time the member was probed because an answer from it was overdue.
  Time m_probed;

  // Returns the turnaround that is expected of the member at `now`. A member
  // that was slow receives few statements, or none while others are free, so
  // nothing shows that it has recovered. Its estimate is therefore halved after
  // each kTurnaroundHalfLife without confirmation, until it is tried again.
  Duration ExpectedTurnaround(Time now) const;
  static constexpr Duration kTurnaroundHalfLife = 2s;
};

// Holds the announced members of all groups, with the load and the lag that
// this instance observed in the answers it received.
class MemberTable {
 public:
  // Replaces the members by the announced ones. Returns the members that are
  // gone or have restarted; the caller must close their connections.
  std::vector<MemberId> SetMembers(const std::vector<Member>& members);

  // Sets the availability zones whose members accept no new work.
  void SetEvacuatedZones(std::set<ZoneName> zones) {
    m_evacuated = std::move(zones);
  }

  // Returns the member, or null if no member with this id is announced.
  MemberState* Find(const MemberId& id);
  const MemberState* Find(const MemberId& id) const;

  // Returns the members of `group`, ordered by id.
  std::vector<MemberState*> MembersOf(const GroupName& group);
  std::vector<const MemberState*> MembersOf(const GroupName& group) const;

  // Returns whether new work may be sent to `member`: neither the member nor
  // its availability zone is being drained.
  bool AcceptsWork(const Member& member) const;

  // Returns the member of `group` that announces itself as the primary, or
  // nullopt if there is none or more than one.
  std::optional<MemberId> SelfDeclaredPrimary(const GroupName& group) const;

  // Records a failed connection attempt. No further connection is opened for a
  // delay that grows with each failure. Open connections stay in use, since the
  // member may only have reached its connection limit.
  void NoteFailure(const MemberId& id, Time now);

  // Records that the member refused a statement for lack of capacity.
  void NoteBusy(const MemberId& id, Time now);

  // Records that the member lacked a log position that was `age` old.
  void NoteLagging(const MemberId& id, Duration age, Time now);

  // Records an answer that arrived `turnaround` after its statement was sent.
  // An estimate that was not confirmed for kTurnaroundHalfLife is replaced, a
  // newer one smoothed.
  void NoteAnswer(const MemberId& id, Duration turnaround, Time now);

  // Records that an attempt was given up because no answer came. The member is
  // not tried again soon: its estimate counts as confirmed. It is not raised,
  // because the answer may have been lost.
  void NoteGivenUp(const MemberId& id, Time now);

  // Returns whether the member probably lacks a log position that is `age` old.
  bool LikelyLacksPosition(const MemberState& state,
                           Duration age,
                           Time now) const;

 private:
  std::map<MemberId, MemberState> m_members;
  std::set<ZoneName> m_evacuated;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_MEMBER_TABLE_H_
