#include "src/core/group_view.h"

#include <algorithm>
#include <utility>

#include "src/common/assert.h"

namespace jasminelug::core {

GroupView::GroupView(Database database) {
  SetDatabase(std::move(database));
}

void GroupView::SetDatabase(Database database) {
  std::vector<MemberView> members;
  for (const Member& member : database.m_members) {
    const MemberView* known = Find(member.m_id);
    MemberView view = known != nullptr ? *known : MemberView();
    view.m_member = member;
    members.push_back(std::move(view));
  }
  m_members = std::move(members);
  m_database = std::move(database);
}

const Member* GroupView::Primary() const {
  const MemberView* view = Find(m_primary);
  return view == nullptr ? nullptr : &view->m_member;
}

bool GroupView::LearnPrimary(Term term, const MemberId& member) {
  if (term == m_term && !m_primary.empty()) {
    JASMINELUG_ASSERT(member == m_primary, A_TERM_HAS_ONE_PRIMARY);
  }
  if (term <= m_term) {
    return false;
  }
  m_term = term;
  m_primary = member;
  RecordGrantedTerm(term);
  return true;
}

bool GroupView::OnStatus(const MemberId& member,
                         const MemberStatus& status,
                         Time asked,
                         Time now) {
  MemberView* view = FindMutable(member);
  if (view == nullptr) {
    return false;
  }
  RecordAnswer(view, now);
  RecordGrantedTerm(status.m_granted_term);
  if (view->m_status && asked < view->m_status_asked) {
    return false;
  }
  view->m_status = status;
  view->m_status_asked = asked;
  view->m_applied_index = status.m_applied_index;
  if (status.m_role != MemberRole::kPrimary) {
    return false;
  }
  return LearnPrimary(status.m_lineage.m_term, member);
}

bool GroupView::OnAnswer(const MemberId& member,
                         const LogPosition& position,
                         MemberRole role,
                         Time now) {
  MemberView* view = FindMutable(member);
  if (view == nullptr) {
    return false;
  }
  RecordAnswer(view, now);
  RecordGrantedTerm(position.m_term);
  view->m_applied_index = std::max(view->m_applied_index, position.m_index);
  return role == MemberRole::kPrimary && LearnPrimary(position.m_term, member);
}

void GroupView::OnFailure(const MemberId& member, bool refused) {
  MemberView* view = FindMutable(member);
  if (view != nullptr) {
    view->m_failed = true;
    view->m_refused = refused;
  }
}

void GroupView::ResetSilence(Time now) {
  for (MemberView& view : m_members) {
    view.m_silent_since = now;
  }
}

const MemberView* GroupView::Find(const MemberId& member) const {
  for (const MemberView& view : m_members) {
    if (view.m_member.m_id == member) {
      return &view;
    }
  }
  return nullptr;
}

MemberView* GroupView::FindMutable(const MemberId& member) {
  return const_cast<MemberView*>(std::as_const(*this).Find(member));
}

uint64_t GroupView::MajorityLogIndex(Term term) const {
  if (term != m_term) {
    return 0;
  }
  std::vector<uint64_t> held;
  for (const MemberView& view : m_members) {
    if (view.m_member.m_id == m_primary) {
      held.push_back(UINT64_MAX);
      continue;
    }
    const bool holds = view.m_status && view.m_status->m_granted_term == term &&
                       view.m_status->m_received.m_term == term;
    held.push_back(holds ? view.m_status->m_received.m_index : 0);
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  return held.size() < majority() ? 0 : held[majority() - 1];
}

std::optional<TermLineage> GroupView::ConfirmedLineage() const {
  std::optional<TermLineage> lineage;
  size_t holders = 0;
  for (const MemberView& view : m_members) {
    if (!view.m_status || view.m_status->m_lineage.m_term != m_term) {
      continue;
    }
    lineage = view.m_status->m_lineage;
    holders += view.m_status->m_received.m_index >= lineage->m_start_index;
  }
  return holders >= majority() ? lineage : std::nullopt;
}

bool GroupView::HasMajorityAtTerm(Term term, Time since) const {
  size_t agreeing = 1;  // The primary, whose own answer was in this term.
  for (const MemberView& view : m_members) {
    if (view.m_member.m_id == m_primary || !view.m_status) {
      continue;
    }
    agreeing +=
        view.m_status_asked >= since && view.m_status->m_granted_term == term;
  }
  return term == m_term && agreeing >= majority();
}

void GroupView::RecordAnswer(MemberView* view, Time now) {
  view->m_last_answer = now;
  view->m_silent_since = now;
  view->m_failed = false;
  view->m_refused = false;
}

void GroupView::RecordGrantedTerm(Term term) {
  m_highest_granted = std::max(m_highest_granted, term);
}

}  // namespace jasminelug::core
