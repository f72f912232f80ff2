#ifndef SRC_GATEWAY_PEER_VIEW_H_
#define SRC_GATEWAY_PEER_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/gateway/fleet_shares.h"
#include "src/gateway/ids.h"
#include "src/gateway/locality/regions.h"
#include "src/gateway/peer_report.h"
#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

// A sample that a peer reported, with its time converted to this instance's
// clock.
struct PeerSample {
  friend bool operator==(const PeerSample&, const PeerSample&) = default;

  GroupName m_group;
  // Lower bound of the time at which the sample was taken.
  Time m_sent;
  LogPosition m_position;
};

// What a head sends to the other cells in one round of reports.
struct DigestRound {
  friend bool operator==(const DigestRound&, const DigestRound&) = default;

  // Whether the reports contain the digest of the cell.
  bool m_has_digest = true;
  // Whether a replacement is in progress. It waits for acknowledgements, and
  // any head may be its coordinator.
  bool m_is_replacing = false;
};

// Holds the reports of the other instances, with an upper bound of their age.
//
// In a fleet of up to kMaxSingleCellInstances instances, all instances report
// to each other. In a larger fleet the instances of an availability zone form a
// cell. Its heads, usually the first two instances in the order of
// IsBeforeInCell(), exchange reports with all instances of the cell and with
// the heads of the other cells. They add a digest of the cell for the other
// cells, and a summary of the fleet for the other instances of the cell, which
// report to the heads only. The number of reports thus grows linearly with the
// size of the cell, and with the number of cells.
//
// Clocks of different instances are not compared. A report that echoes this
// instance's report number n, and says that it has held it for a time h, was
// made no earlier than the time at which n was sent plus h. This bound holds
// regardless of how long the report took to arrive.
class PeerView {
 public:
  // Maximum age of a report that is used. A peer whose newest report may be
  // older is unresponsive.
  static constexpr Duration kReportMaxAge = 900ms;
  // The entry of an instance that sent no report for this long may be removed
  // from the store.
  static constexpr Duration kExpiryTime = 8s;

  // Time after which an instance whose entry disappeared uses no primary,
  // because its last contact with the store is too old. It has learnt of the
  // disappearance unless it lost that contact.
  static constexpr Duration kVanishedTime = 4400ms;

  // Maximum number of instances that all report to each other, without cells.
  static constexpr std::size_t kMaxSingleCellInstances = 16;

  explicit PeerView(InstanceEntry self, Regions regions = {});

  // Sets the registered instances. The list may contain this instance.
  void SetInstances(const std::vector<InstanceEntry>& entries, Time now);

  // Sets the sender, the incarnation, the sequence number, the echoes and the
  // role in a report that is sent at `now`.
  void FillHeader(PeerReport* report, Time now);

  // Stores a report of an instance of this cell or of a head of another one.
  // Returns false if the report is not newer than the stored one or if its
  // sender is not a known incarnation of an instance.
  bool OnReport(const PeerReport& report, Time now);

  // Returns the samples in the newest report of `sender`. Returns none if the
  // times of the samples are not known accurately enough.
  std::vector<PeerSample> SamplesOf(const InstanceId& sender) const;

  // Returns a lower bound of the time of the contact behind `verified`, which
  // is part of the newest report of `sender`. Returns nullopt if the time of
  // the report is unknown.
  std::optional<Time> VerifiedTime(const InstanceId& sender,
                                   const VerifiedRevision& verified) const;

  // Returns the number of live peers.
  int CountLive(Time now) const;

  // Returns this instance's share of each customer's limits, given its own
  // demand: computed here, or, if this instance is no head, as a head has
  // reported it. See FleetShares.
  std::map<CustomerName, CustomerShare> Shares(
      const std::vector<CustomerDemand>& own_demand,
      const CustomerHolders& customers,
      Time now) const;

  // Returns whether every other registered instance has acknowledged the
  // revision in its current incarnation. The digest of another cell counts only
  // if its sender knew all instances of that cell that are registered.
  //
  // An instance whose entry disappeared although it was not stopping may not
  // know that yet. It counts for kVanishedTime, until it is registered again.
  bool AllAcknowledged(Revision revision, Time now) const;

  // Returns the instances of this cell that keep AllAcknowledged() from being
  // true, and an instance of each other cell that does, for the log.
  std::vector<InstanceId> Unacknowledged(Revision revision, Time now) const;

  // Number of other instances that cannot reach a group's primary, and of those
  // that can. Instances that report neither are not counted.
  struct ReachabilityCounts {
    int m_unreachable = 0;
    int m_reachable = 0;
  };
  ReachabilityCounts CountReachability(const GroupName& group, Time now) const;

  // Returns the peers that sent no report for longer than kExpiryTime.
  std::vector<InstanceId> ExpiredPeers(Time now) const;

  // Returns the position of this instance among the live instances of its cell,
  // in the order of IsBeforeInCell(). The first has rank 0.
  int Rank(Time now) const;

  // Returns the position of this instance in the order in which instances
  // follow the store for the fleet. First come the heads of the cells, in the
  // order of IsBeforeInCell(), then the other instances of each cell. Only live
  // instances that have copies of the store's objects and are not stopping
  // count.
  int FollowerRank(Time now) const;

  // Returns whether this incarnation of the instance is registered.
  bool IsRegistered(const InstanceId& id, Incarnation incarnation) const;

  // Returns whether `id` is a peer of this cell that should have reported to
  // this instance, and has not.
  bool IsUnresponsive(const InstanceId& id, Time now) const;

  // Decides whether this instance is a head. Must be called before each report.
  // The coordinator of a replacement is one regardless of its position: it
  // needs the acknowledgements of all instances, and only heads receive them.
  //
  // Under the loss of all heads, the other instances do not hear from each
  // other; each of them takes the role after a delay that grows with its
  // position, and tells all others at once.
  void UpdateRole(bool is_coordinator, Time now);
  bool is_head() const { return m_cells.empty() || m_is_head; }

  // Returns the instances of this cell that receive this instance's reports.
  std::vector<InstanceEntry> ReportReceivers(Time now) const;

  // Returns what a receiver gets of `own`, this instance's report. `shares` are
  // those of the whole fleet.
  PeerReport ReportFor(const InstanceEntry& receiver,
                       const PeerReport& own,
                       const FleetShares& shares,
                       Time now) const;

  // Returns the shares of all instances. The arguments and this object must
  // outlive the result.
  FleetShares AllShares(const std::vector<CustomerDemand>& own_demand,
                        const CustomerHolders& holders,
                        Time now) const;

  // Returns the digest of this cell. `own` is this instance's own report.
  CellDigest Digest(const PeerReport& own, Time now) const;

  // Returns the receivers of the digest in the other cells: the heads from
  // which reports arrive, or else the first `count` instances of the cell and
  // another one that differs between successive calls.
  //
  // Except during a replacement, only one head of each cell in another region
  // is a receiver, and only of reports that contain the digest. Each head of
  // this cell chooses a different one by its position: the heads of two cells
  // form pairs, so that the link between the regions carries few reports. The
  // loss of a head leaves its partner without digests of that cell for about a
  // second, until the cells have new heads.
  std::vector<InstanceEntry> DigestReceivers(std::size_t count,
                                             const DigestRound& round,
                                             Time now);

  int instance_count() const { return m_instance_count; }
  // Number of registered instances of this cell, including this one.
  int cell_size() const { return static_cast<int>(m_peers.size()) + 1; }
  // Whether the fleet has other cells.
  bool has_other_cells() const { return !m_cells.empty(); }

 private:
  struct Peer {
    InstanceEntry m_entry;
    Time m_known_since;
    std::optional<PeerReport> m_report;
    Time m_received;
    // Lower bound of the time at which m_report was made. Unset until a report
    // echoes one of this instance's reports.
    std::optional<Time> m_earliest_creation;
  };

  // State of another cell.
  struct Cell {
    std::vector<InstanceEntry> m_entries;
    // Newest revision of an entry.
    Revision m_newest_entry;
    std::optional<CellDigest> m_digest;
    Time m_received;
  };

  struct SentReport {
    std::uint64_t m_sequence = 0;
    Time m_sent;
  };

  bool IsLive(const Peer& peer, Time now) const;
  bool IsLiveBeforeSelf(const Peer& peer, Time now) const;
  bool MayFollowBeforeSelf(const Peer& peer, Time now) const;
  const Peer* Find(const InstanceId& id) const;
  Peer* FindSender(const PeerReport& report);
  void KeepHeads();
  void NoteVanished(const std::vector<InstanceEntry>& entries, Time now);
  std::vector<InstanceEntry> HeadsOf(const ZoneName& zone, Time now) const;
  bool IsLive(const Cell& cell, Time now) const;
  static bool HasAcknowledged(const Peer& peer, Revision revision);
  static bool HasAcknowledged(const Cell& cell, Revision revision);
  void RecordDigests(const PeerReport& report, Time now);
  int Position() const;
  bool IsReportExpected(const Peer& peer, Time now) const;
  bool ReportsAsHead(const Peer& peer, Time now) const;
  Duration HeadDelay() const;
  FleetSummary SummaryFor(const InstanceEntry& receiver,
                          const PeerReport& own,
                          const FleetShares& shares,
                          Time now) const;
  const FleetSummary* ReceivedSummary(Time now) const;
  CustomerShare ShareFrom(const FleetSummary* summary,
                          const CustomerDemand& own_demand,
                          const std::set<InstanceId>& holders) const;
  void AddReachability(const std::vector<GroupName>& reachable,
                       const std::vector<GroupName>& unreachable,
                       std::map<GroupName, GroupReachability>* sums) const;
  std::optional<Time> SentTimeOf(std::uint64_t sequence) const;
  static CustomerDemand DemandIn(const std::vector<CustomerDemand>& demand,
                                 const CustomerName& customer);

  const InstanceEntry m_own_entry;
  const InstanceId m_self;
  const Incarnation m_incarnation;
  const ZoneName m_zone;
  const Regions m_regions;
  std::map<InstanceId, Peer> m_peers;
  // Heads of other cells that have sent reports.
  std::map<InstanceId, Peer> m_heads;
  std::map<ZoneName, Cell> m_cells;
  bool m_is_head = false;
  Time m_head_since;
  // Whether the last report said that this instance is a head.
  bool m_reported_as_head = false;
  // Number of reports that still go to all peers after the end of the role.
  int m_role_notices_left = 0;
  // Time since which the cell has lacked a head that comes before this
  // instance.
  std::optional<Time> m_vacant_since;
  std::size_t m_next_receiver = 0;
  // Entries of the other instances, and the times at which entries disappeared
  // that were not those of stopping instances.
  std::map<InstanceId, InstanceEntry> m_entries;
  std::map<InstanceId, Time> m_vanished;
  int m_instance_count = 1;
  std::uint64_t m_sequence = 0;
  std::deque<SentReport> m_sent;
};

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_PEER_VIEW_H_
