#include "src/gateway/peer_view.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "src/core/rendezvous.h"
#include "src/gateway/cell_order.h"

namespace jasminelug::gateway {
namespace {

// Number of this instance's own reports whose sending times are kept.
constexpr std::size_t kMaxSentReports = 64;
// Maximum age of a report that is echoed. The echo of an older one would prove
// nothing that is still of use.
constexpr Duration kMaxEchoAge = 5s;
// Number of heads of a cell; two, so that one may fail.
constexpr int kHeads = 2;
// Number of reports in which a former head tells all others that it is none any
// more. More than one, because datagrams may be lost.
constexpr int kRoleNotices = 3;
// Time within which the entry of an instance that is lost has been removed from
// the store, with some margin.
constexpr Duration kSilentHeadTime = 2 * PeerView::kExpiryTime;
// Time within which a live peer has reported to an instance that has just
// learnt of it or become a head, and has echoed one of its reports.
constexpr Duration kFirstReportTime = 2 * PeerView::kReportMaxAge;
// Delay before an instance takes the role of a missing head, for each position
// by which it follows the first kHeads instances, and the number of positions
// to which it is added. Instances of later positions add a random part of
// kHeadSpreadPerInstance for each instance of the cell.
constexpr Duration kHeadDelay = 300ms;
constexpr int kMaxHeadDelays = 4;
constexpr Duration kHeadSpreadPerInstance = 20ms;
// Maximum uncertainty of the time of a peer's samples. A sample that is less
// certain would be taken for a much older one, and reads would require
// positions that the replicas cannot have received yet.
constexpr Duration kMaxUncertainty = 300ms;
}  // namespace

PeerView::PeerView(InstanceEntry self, Regions regions)
    : m_own_entry(std::move(self)),
      m_self(m_own_entry.m_id),
      m_incarnation(m_own_entry.m_incarnation),
      m_zone(m_own_entry.m_zone),
      m_regions(std::move(regions)) {}

void PeerView::SetInstances(const std::vector<InstanceEntry>& entries,
                            Time now) {
  NoteVanished(entries, now);
  std::map<InstanceId, Peer> peers;
  std::map<ZoneName, Cell> cells;
  const bool single = entries.size() <= kMaxSingleCellInstances;
  m_instance_count = 1;
  for (const InstanceEntry& entry : entries) {
    if (entry.m_id == m_self) {
      continue;
    }
    m_instance_count += 1;
    if (!single && entry.m_zone != m_zone) {
      Cell& cell = cells[entry.m_zone];
      cell.m_entries.push_back(entry);
      cell.m_newest_entry = std::max(cell.m_newest_entry, entry.m_revision);
      continue;
    }
    Peer peer;
    peer.m_known_since = now;
    const auto known = m_peers.find(entry.m_id);
    if (known != m_peers.end() && known->second.m_entry.IsSameRun(entry)) {
      peer = known->second;
    }
    peer.m_entry = entry;
    peers.emplace(entry.m_id, std::move(peer));
  }
  m_peers = std::move(peers);
  for (auto& [zone, cell] : cells) {
    std::sort(cell.m_entries.begin(), cell.m_entries.end(), IsBeforeInCell);
    const auto known = m_cells.find(zone);
    if (known != m_cells.end()) {
      cell.m_digest = known->second.m_digest;
      cell.m_received = known->second.m_received;
    }
  }
  m_cells = std::move(cells);
  KeepHeads();
}

void PeerView::NoteVanished(const std::vector<InstanceEntry>& entries,
                            Time now) {
  std::map<InstanceId, InstanceEntry> registered;
  for (const InstanceEntry& entry : entries) {
    m_vanished.erase(entry.m_id);
    if (entry.m_id != m_self) {
      registered.emplace(entry.m_id, entry);
    }
  }
  for (const auto& [id, entry] : m_entries) {
    if (!entry.m_leaving && !registered.contains(id)) {
      m_vanished.emplace(id, now);
    }
  }
  std::erase_if(m_vanished, [now](const auto& item) {
    return now - item.second >= kVanishedTime;
  });
  m_entries = std::move(registered);
}

// Removes the heads whose run is no longer registered.
void PeerView::KeepHeads() {
  std::map<InstanceId, Peer> heads;
  for (const auto& [zone, cell] : m_cells) {
    for (const InstanceEntry& entry : cell.m_entries) {
      const auto known = m_heads.find(entry.m_id);
      if (known != m_heads.end() && known->second.m_entry.IsSameRun(entry)) {
        heads.insert(*known);
      }
    }
  }
  m_heads = std::move(heads);
}

void PeerView::FillHeader(PeerReport* report, Time now) {
  m_sequence += 1;
  m_sent.push_back({m_sequence, now});
  if (m_sent.size() > kMaxSentReports) {
    m_sent.pop_front();
  }
  report->m_sender = m_self;
  report->m_incarnation = m_incarnation;
  report->m_address = m_own_entry.m_peer_address;
  report->m_sequence = m_sequence;
  for (const auto* peers : {&m_peers, &m_heads}) {
    for (const auto& [id, peer] : *peers) {
      if (!peer.m_report || now - peer.m_received > kMaxEchoAge) {
        continue;
      }
      report->m_echoes.push_back({id, peer.m_report->m_incarnation,
                                  peer.m_report->m_sequence,
                                  now - peer.m_received});
    }
  }
  report->m_is_head = is_head();
  m_reported_as_head = is_head();
}

void PeerView::RecordDigests(const PeerReport& report, Time now) {
  for (const CellDigest& digest : report.m_cells) {
    const auto cell = m_cells.find(digest.m_zone);
    if (cell == m_cells.end()) {
      continue;
    }
    cell->second.m_digest = digest;
    cell->second.m_received = now;
  }
}

bool PeerView::IsLive(const Cell& cell, Time now) const {
  return cell.m_digest && now - cell.m_received < kReportMaxAge;
}

std::optional<Time> PeerView::SentTimeOf(std::uint64_t sequence) const {
  for (const SentReport& sent : m_sent) {
    if (sent.m_sequence == sequence) {
      return sent.m_sent;
    }
  }
  return std::nullopt;
}

const PeerView::Peer* PeerView::Find(const InstanceId& id) const {
  const auto peer = m_peers.find(id);
  if (peer != m_peers.end()) {
    return &peer->second;
  }
  const auto head = m_heads.find(id);
  return head == m_heads.end() ? nullptr : &head->second;
}

// Returns the peer that sent `report`, or nullptr if it is not a known
// incarnation of an instance. A head of another cell is added.
PeerView::Peer* PeerView::FindSender(const PeerReport& report) {
  const auto known = m_peers.find(report.m_sender);
  if (known != m_peers.end()) {
    const InstanceEntry& entry = known->second.m_entry;
    return entry.m_incarnation == report.m_incarnation ? &known->second
                                                       : nullptr;
  }
  for (const auto& [zone, cell] : m_cells) {
    for (const InstanceEntry& entry : cell.m_entries) {
      if (entry.m_id == report.m_sender &&
          entry.m_incarnation == report.m_incarnation) {
        Peer& head = m_heads[entry.m_id];
        head.m_entry = entry;
        return &head;
      }
    }
  }
  return nullptr;
}

bool PeerView::OnReport(const PeerReport& report, Time now) {
  Peer* peer = FindSender(report);
  if (!peer) {
    return false;
  }
  if (peer->m_report && peer->m_report->m_sequence >= report.m_sequence) {
    return false;
  }
  RecordDigests(report, now);
  peer->m_report = report;
  peer->m_received = now;
  for (const ReportEcho& echo : report.m_echoes) {
    if (echo.m_instance != m_self || echo.m_incarnation != m_incarnation) {
      continue;
    }
    const std::optional<Time> sent = SentTimeOf(echo.m_sequence);
    if (sent) {
      peer->m_earliest_creation = *sent + echo.m_held;
    }
  }
  return true;
}

bool PeerView::IsLive(const Peer& peer, Time now) const {
  return peer.m_earliest_creation &&
         now - *peer.m_earliest_creation < kReportMaxAge;
}

std::vector<PeerSample> PeerView::SamplesOf(const InstanceId& sender) const {
  std::vector<PeerSample> samples;
  const auto found = m_peers.find(sender);
  if (found == m_peers.end() || !found->second.m_earliest_creation ||
      found->second.m_received - *found->second.m_earliest_creation >
          kMaxUncertainty) {
    return samples;
  }
  for (const AgedSample& sample : found->second.m_report->m_samples) {
    samples.push_back({sample.m_group,
                       *found->second.m_earliest_creation - sample.m_age,
                       sample.m_position});
  }
  return samples;
}

std::optional<Time> PeerView::VerifiedTime(
    const InstanceId& sender,
    const VerifiedRevision& verified) const {
  const Peer* peer = Find(sender);
  if (!peer || !peer->m_earliest_creation) {
    return std::nullopt;
  }
  return *peer->m_earliest_creation - verified.m_age;
}

int PeerView::CountLive(Time now) const {
  return static_cast<int>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [&](const auto& item) { return IsLive(item.second, now); }));
}

int PeerView::Position() const {
  return static_cast<int>(
      std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& item) {
        return IsBeforeInCell(item.second.m_entry, m_own_entry);
      }));
}

bool PeerView::ReportsAsHead(const Peer& peer, Time now) const {
  return peer.m_report && peer.m_report->m_is_head &&
         now - peer.m_received < kReportMaxAge;
}

Duration PeerView::HeadDelay() const {
  const int behind = std::max(Position() - kHeads + 1, 0);
  const Duration delay = std::min(behind, kMaxHeadDelays) * kHeadDelay;
  if (behind <= kMaxHeadDelays) {
    return delay;
  }
  const double random =
      static_cast<double>(core::RendezvousWeight(m_self, m_zone.str())) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const Duration spread =
      static_cast<int>(m_peers.size()) * kHeadSpreadPerInstance;
  return delay + std::chrono::duration_cast<Duration>(spread * random);
}

void PeerView::UpdateRole(bool is_coordinator, Time now) {
  const auto heads_before = static_cast<int>(
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& item) {
        return IsBeforeInCell(item.second.m_entry, m_own_entry) &&
               ReportsAsHead(item.second, now);
      }));
  if (heads_before >= kHeads) {
    m_vacant_since.reset();
  } else {
    m_vacant_since = m_vacant_since.value_or(now);
  }
  const bool takes_vacant_role =
      m_vacant_since && (m_is_head || now - *m_vacant_since >= HeadDelay());
  const bool was_head = m_is_head;
  m_is_head = is_coordinator || takes_vacant_role;
  if (m_is_head && !was_head) {
    m_head_since = now;
  }
  // An instance of a small fleet reports as a head, too.
  if (m_reported_as_head && !is_head()) {
    m_role_notices_left = kRoleNotices;
  } else {
    m_role_notices_left = std::max(m_role_notices_left - 1, 0);
  }
}

std::vector<InstanceEntry> PeerView::ReportReceivers(Time now) const {
  std::vector<InstanceEntry> receivers;
  for (const auto& [id, peer] : m_peers) {
    receivers.push_back(peer.m_entry);
  }
  if (is_head() || m_role_notices_left > 0) {
    return receivers;
  }
  std::sort(receivers.begin(), receivers.end(), IsBeforeInCell);
  const auto others = receivers.begin() +
                      std::min<std::ptrdiff_t>(kHeads, std::ssize(receivers));
  receivers.erase(std::remove_if(others, receivers.end(),
                                 [&](const InstanceEntry& entry) {
                                   return !ReportsAsHead(m_peers.at(entry.m_id),
                                                         now);
                                 }),
                  receivers.end());
  return receivers;
}

bool PeerView::HasAcknowledged(const Peer& peer, Revision revision) {
  return peer.m_entry.m_acknowledged >= revision ||
         (peer.m_report && peer.m_report->m_acknowledged >= revision);
}

bool PeerView::HasAcknowledged(const Cell& cell, Revision revision) {
  const bool in_digest = cell.m_digest &&
                         cell.m_digest->m_acknowledged >= revision &&
                         cell.m_digest->m_instances >= cell.m_newest_entry;
  return in_digest || std::all_of(cell.m_entries.begin(), cell.m_entries.end(),
                                  [revision](const InstanceEntry& entry) {
                                    return entry.m_acknowledged >= revision;
                                  });
}

bool PeerView::AllAcknowledged(Revision revision, Time now) const {
  return Unacknowledged(revision, now).empty();
}

std::vector<InstanceId> PeerView::Unacknowledged(Revision revision,
                                                 Time now) const {
  std::vector<InstanceId> instances;
  for (const auto& [id, since] : m_vanished) {
    if (now - since < kVanishedTime) {
      instances.push_back(id);
    }
  }
  for (const auto& [id, peer] : m_peers) {
    if (!HasAcknowledged(peer, revision)) {
      instances.push_back(id);
    }
  }
  for (const auto& [zone, cell] : m_cells) {
    if (!HasAcknowledged(cell, revision)) {
      instances.push_back(cell.m_entries.front().m_id);
    }
  }
  return instances;
}

PeerView::ReachabilityCounts PeerView::CountReachability(const GroupName& group,
                                                         Time now) const {
  ReachabilityCounts reachability;
  if (!is_head()) {
    const FleetSummary* summary = ReceivedSummary(now);
    for (const GroupReachability& item :
         summary ? summary->m_reachability : std::vector<GroupReachability>()) {
      if (item.m_group == group) {
        reachability = {item.m_unreachable, item.m_reachable};
      }
    }
    return reachability;
  }
  for (const auto& [id, peer] : m_peers) {
    if (!IsLive(peer, now)) {
      continue;
    }
    const std::vector<GroupName>& unreachable = peer.m_report->m_unreachable;
    const std::vector<GroupName>& reachable = peer.m_report->m_reachable;
    if (std::find(unreachable.begin(), unreachable.end(), group) !=
        unreachable.end()) {
      reachability.m_unreachable += 1;
    } else if (std::find(reachable.begin(), reachable.end(), group) !=
               reachable.end()) {
      reachability.m_reachable += 1;
    }
  }
  for (const auto& [zone, cell] : m_cells) {
    if (!IsLive(cell, now)) {
      continue;
    }
    for (const GroupReachability& item : cell.m_digest->m_reachability) {
      if (item.m_group == group) {
        reachability.m_unreachable += item.m_unreachable;
        reachability.m_reachable += item.m_reachable;
      }
    }
  }
  return reachability;
}

std::vector<InstanceId> PeerView::ExpiredPeers(Time now) const {
  std::vector<InstanceId> expired;
  for (const auto& [id, peer] : m_peers) {
    // The others report to this instance only while it is a head.
    const Time last_contact =
        std::max(peer.m_report ? peer.m_received : peer.m_known_since,
                 m_cells.empty() ? Time() : m_head_since);
    if (now - last_contact > kExpiryTime) {
      expired.push_back(id);
    }
  }
  return expired;
}

bool PeerView::IsLiveBeforeSelf(const Peer& peer, Time now) const {
  return IsBeforeInCell(peer.m_entry, m_own_entry) && IsLive(peer, now);
}

int PeerView::Rank(Time now) const {
  const auto live_before = static_cast<int>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [&](const auto& item) { return IsLiveBeforeSelf(item.second, now); }));
  // An instance that is no head does not know which others are live.
  return is_head() ? live_before : std::max(live_before, Position());
}

bool PeerView::MayFollowBeforeSelf(const Peer& peer, Time now) const {
  return IsLiveBeforeSelf(peer, now) && !peer.m_entry.m_leaving &&
         !peer.m_report->m_copies.empty();
}

int PeerView::FollowerRank(Time now) const {
  const auto count = [&](const std::map<InstanceId, Peer>& peers) {
    return static_cast<int>(
        std::count_if(peers.begin(), peers.end(), [&](const auto& item) {
          return MayFollowBeforeSelf(item.second, now);
        }));
  };
  const int in_cell = count(m_peers);
  return in_cell == 0 ? count(m_heads)
                      : in_cell + static_cast<int>(m_cells.size());
}

bool PeerView::IsRegistered(const InstanceId& id,
                            Incarnation incarnation) const {
  const auto is_run = [&](const InstanceEntry& entry) {
    return entry.m_id == id && entry.m_incarnation == incarnation;
  };
  const auto peer = m_peers.find(id);
  if (peer != m_peers.end()) {
    return is_run(peer->second.m_entry);
  }
  return std::any_of(m_cells.begin(), m_cells.end(), [&](const auto& item) {
    return std::any_of(item.second.m_entries.begin(),
                       item.second.m_entries.end(), is_run);
  });
}

bool PeerView::IsUnresponsive(const InstanceId& id, Time now) const {
  const auto found = m_peers.find(id);
  return found != m_peers.end() && IsReportExpected(found->second, now) &&
         !IsLive(found->second, now);
}

// Returns whether a peer that is live would have reported to this instance
// lately. The other instances of a cell report to its heads only. A head that
// has been silent for kSilentHeadTime is probably none any more, and its
// announcement of that was lost.
bool PeerView::IsReportExpected(const Peer& peer, Time now) const {
  if (!is_head()) {
    return peer.m_report && peer.m_report->m_is_head &&
           now - peer.m_received < kSilentHeadTime;
  }
  const Time since =
      std::max(peer.m_known_since, m_cells.empty() ? Time() : m_head_since);
  return now - since > kFirstReportTime;
}

}  // namespace jasminelug::gateway
