#include "src/gateway/primary_decision.h"

#include <algorithm>

namespace jasminelug::gateway {
namespace {

// Time within which a replacement usually completes.
constexpr Duration kUsualReplacementTime = 1100ms;

}  // namespace

void PeerReadRevisions::RecordPeerRevision(Revision revision, Time now) {
  if (!m_peer_revisions.empty() &&
      revision <= m_peer_revisions.back().m_revision) {
    return;
  }
  m_peer_revisions.push_back({revision, now});
  if (m_peer_revisions.size() > kMaxRevisions) {
    m_peer_revisions.pop_front();
  }
}

void PeerReadRevisions::Update(Revision own, Time now) {
  const auto unread =
      std::find_if(m_peer_revisions.begin(), m_peer_revisions.end(),
                   [own](const PeerRevision& peer_revision) {
                     return peer_revision.m_revision > own;
                   });
  if (unread == m_peer_revisions.end()) {
    m_unread.reset();
    return;
  }
  // m_unread may have been acknowledged already.
  const bool was_unread = m_unread && *m_unread > own;
  if (was_unread || now - unread->m_first_reported >= kGracePeriod) {
    m_unread = m_peer_revisions.back().m_revision;
  } else {
    m_unread.reset();
  }
}

PrimaryDecision DecidePrimary(const GroupName& group,
                              const ReplacementCoordinator& coordinator,
                              const std::optional<MemberId>& self_declared,
                              const std::optional<MemberId>& previous,
                              bool has_unread_record,
                              Time now) {
  PrimaryDecision decision;
  PrimaryView& view = decision.m_view;
  view.m_record = coordinator.revision();
  if (!coordinator.is_record_valid()) {
    view.m_member = previous;
    decision.m_abandon = true;
    return decision;
  }
  view.m_member = coordinator.PrimaryOf(group);
  if (!view.m_member && !coordinator.record().m_lists_all_groups) {
    view.m_member = self_declared ? self_declared : previous;
  }
  view.m_usable = view.m_member.has_value();
  const std::optional<ReplacementIntent> intent = coordinator.IntentFor(group);
  if (intent) {
    view.m_usable = false;
    view.m_usable_from = coordinator.intent_seen() + kUsualReplacementTime;
    decision.m_abandon =
        !intent->m_planned || now - coordinator.intent_seen() >=
                                  ReplacementCoordinator::kPlannedEndLimit;
  }
  if (has_unread_record) {
    view.m_usable = false;
    view.m_usable_from.reset();
    decision.m_abandon = true;
  }
  return decision;
}

}  // namespace jasminelug::gateway
