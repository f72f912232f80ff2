#include "src/gateway/copy_bootstrap.h"

#include <algorithm>
#include <utility>

#include "src/gateway/cell_order.h"
#include "src/gateway/follower_election.h"
#include "src/gateway/peer_view.h"

namespace jasminelug::gateway {

CopyBootstrap::CopyBootstrap(InstanceId self, ZoneName zone, Hooks hooks)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_hooks(std::move(hooks)) {}

void CopyBootstrap::Start(Time now) {
  ScheduleList(/*first=*/false, now);
}

void CopyBootstrap::ScheduleList(bool first, Time now) {
  if (first) {
    m_list_at = now + kFirstListDelay;
    return;
  }
  const Duration spread =
      std::min(m_cell_size * kListDelayPerInstance, Duration(kMaxListDelay));
  m_list_at = now + kOtherListDelay +
              std::chrono::duration_cast<Duration>(spread * m_hooks.m_random());
}

void CopyBootstrap::Ask(const InstanceId& neighbour) {
  if (!m_finished && m_asked.insert(neighbour).second) {
    m_hooks.m_ask(neighbour);
  }
}

void CopyBootstrap::OnNeighbours(const std::vector<InstanceEntry>& entries,
                                 Time now) {
  const bool single = entries.size() <= PeerView::kMaxSingleCellInstances;
  std::vector<InstanceEntry> cell;
  std::optional<InstanceEntry> own;
  for (const InstanceEntry& entry : entries) {
    if (entry.m_id == m_self) {
      own = entry;
    } else if (single || entry.m_zone == m_zone) {
      cell.push_back(entry);
    }
  }
  m_has_read_neighbours = true;
  if (cell.empty()) {
    return;
  }
  std::sort(cell.begin(), cell.end(), IsBeforeInCell);
  m_knows_neighbours = true;
  m_cell_size = static_cast<int>(cell.size()) + 1;
  ScheduleList(own && IsBeforeInCell(*own, cell.front()), now);
  Ask(cell.front().m_id);
  cell.erase(cell.begin());
  AskAtRandom(cell, kAskedNeighbours - 1);
}

void CopyBootstrap::AskAtRandom(std::vector<InstanceEntry> neighbours,
                                std::size_t count) {
  for (std::size_t i = 0; i < count && !neighbours.empty(); ++i) {
    const auto index = static_cast<std::size_t>(
        m_hooks.m_random() * static_cast<double>(neighbours.size()));
    const auto chosen =
        neighbours.begin() +
        static_cast<std::ptrdiff_t>(std::min(index, neighbours.size() - 1));
    Ask(chosen->m_id);
    neighbours.erase(chosen);
  }
}

bool CopyBootstrap::MayReadNeighbours() const {
  return !m_knows_neighbours && m_neighbour_reads < kNeighbourReads;
}

void CopyBootstrap::ReadNeighbours(Time now) {
  m_neighbour_reads += 1;
  ScheduleList(/*first=*/false, now);
  m_hooks.m_read_neighbours();
}

void CopyBootstrap::OnAsked(Time now) {
  const bool may_be_first =
      m_has_read_neighbours && !m_knows_neighbours && m_neighbour_reads == 0;
  if (!m_finished && may_be_first) {
    ReadNeighbours(now);
  }
}

void CopyBootstrap::OnCopyHolder(const InstanceId& holder) {
  Ask(holder);
}

void CopyBootstrap::OnTick(Time now) {
  if (m_finished || now < m_list_at) {
    return;
  }
  if (MayReadNeighbours()) {
    ReadNeighbours(now);
    return;
  }
  const Duration interval = m_cell_size * FollowerElection::kCallInterval;
  m_list_at = now + std::chrono::duration_cast<Duration>(
                        interval * (0.5 + m_hooks.m_random()));
  m_hooks.m_list();
}

}  // namespace jasminelug::gateway
