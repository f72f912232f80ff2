#ifndef APPS_GATEWAY_FLEET_DUTY_H_
#define APPS_GATEWAY_FLEET_DUTY_H_

#include <log4cplus/logger.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "apps/gateway/settings.h"
#include "jasminelug/gateway.h"
#include "jasminelug/gossip.h"
#include "platform/promotion_client.h"
#include "platform/store_client.h"

namespace jasminelug::gateway_app {

// Returns a revision as a field of a log line. Its high bits are the epoch.
inline std::int64_t ToLogField(gateway::Revision revision) {
  return static_cast<std::int64_t>(revision.value());
}

// Runs the duties that an instance shares with the rest of the fleet: registers
// the instance in the store, exchanges reports with its peers, computes its
// shares of the customers' limits and of the members' connections, and replaces
// primaries.
class FleetDuty {
 public:
  FleetDuty(asio::io_context& io,
            const Settings& settings,
            gateway::Incarnation incarnation,
            gateway::Engine& engine);

  // Hooks to the copies of the store's objects, and to this instance's other
  // duties. The owner must set them before the first tick.
  struct Hooks {
    // Read the registered instances, or the replacement record, from the store
    // at once.
    std::function<void()> m_read_instances;
    std::function<void()> m_read_record;
    // Called with the replacement record that this instance has written.
    std::function<void(const gateway::StoreObject& record)> m_record_written;
    // Returns the revisions of the copies of the store's objects.
    std::function<std::vector<gateway::CopyRevision>()> m_copies;
    // Called with the copies that a peer of this cell reported.
    std::function<void(const gateway::InstanceId& sender,
                       const std::vector<gateway::CopyRevision>& copies,
                       gateway::Time now)>
        m_peer_copies;
    // Called for a report of an instance that is not registered as far as this
    // instance knows.
    std::function<void(const gateway::InstanceId& sender,
                       const gateway::Address& address)>
        m_unknown_peer;
  };
  void SetHooks(Hooks hooks) { m_hooks = std::move(hooks); }

  // Handles instances that an outdated list of the store may name, before the
  // first call of OnInstances().
  void OnNeighbours(const gateway::StoreObjects& objects, gateway::Time now) {
    m_registrar.OnEntries(objects, gateway::Revision(), now);
    UpdateRegistration(now);
  }

  // Applies the entries of the registered instances, as of the store's revision
  // `complete`.
  void OnInstances(const gateway::StoreObjects& objects,
                   gateway::Revision complete,
                   gateway::Time now);

  // Records that the instances' entries are no older than `sent`, the time at
  // which a call to the store was sent.
  void OnInstancesVerified(gateway::Time sent) { m_instances_as_of = sent; }

  // Called when the engine has taken over a new configuration.
  void OnConfiguration(gateway::Time now) { UpdateHolders(now); }

  // Applies the replacement record, as of the store's revision `complete`.
  void OnReplacements(const gateway::StoreObjects& objects,
                      gateway::Revision complete,
                      gateway::Time now);

  // Called when a member has reported its status to a request that was sent at
  // `requested`.
  void OnStatus(const gateway::MemberId& member,
                const gateway::MemberStatus& status,
                gateway::Time requested);

  // Decides again which primary the engine uses in each group. Called when the
  // members or the replacement record have changed, and on each tick.
  void UpdatePrimaries(gateway::Time now);

  void OnTick(gateway::Time now);

  // Sends the reports to the peers at once, because a state that they contain
  // has changed.
  void SendReports(gateway::Time now);

  // Returns this instance as a candidate for following the store.
  gateway::FollowerCandidate Candidate(gateway::Time now) const;

  // Announces that this instance is stopping. It starts no further replacement.
  void BeginShutdown(gateway::Time now);

  // Deletes this instance's entry from the store. From then on, this instance
  // uses no primary.
  void Deregister(gateway::Time now);

  // Returns whether the call that deletes the entry is in progress.
  bool is_deregistering() const {
    return m_stopping && m_registrar_client.is_calling();
  }

  // Returns this instance's entry, or the entries of all registered instances
  // as the store holds them.
  const gateway::InstanceEntry& entry() const { return m_entry; }
  const std::vector<gateway::InstanceEntry>& entries() const {
    return m_entries;
  }
  bool is_registered() const { return m_registrar.is_registered(); }
  // Returns whether the primaries were known at least once. They are not at the
  // first start of the fleet, until it has found them out.
  bool has_known_primaries() const { return m_has_known_primaries; }
  // Returns how long the replacement of a primary that is in progress has
  // taken.
  const gateway::ReplacementWatch& replacement_watch() const {
    return m_replacement_watch;
  }

 private:
  gateway::InstanceRegistrar::Hooks MakeRegistrarHooks();
  gateway::ReplacementCoordinator::Hooks MakeCoordinatorHooks();
  void OnDatagram(std::string_view bytes);
  void Queue(const gateway::InstanceEntry& peer,
             const gateway::PeerReport& report);
  void QueueForOtherCells(gateway::PeerReport* own,
                          const gateway::FleetShares& shares,
                          bool acknowledges,
                          gateway::Time now);
  void SendQueued();
  gateway::PeerReport MakeReport(gateway::Time now) const;
  gateway::Revision AcknowledgedRevision() const;
  bool AreAllPrimariesUnused() const;
  void LogReplacement(const std::string& event,
                      const gateway::ReplacementIntent& intent);
  void WatchReplacement(gateway::Time now);
  std::string Unacknowledged(gateway::Time now) const;
  void UpdateContacts(const gateway::PeerReport& report, gateway::Time now);
  void UpdateContact(const gateway::PeerReport& report,
                     const gateway::VerifiedRevision& peer_state,
                     gateway::Revision own,
                     gateway::StoreContact* contact);
  void UpdateRegistration(gateway::Time now);
  void UpdateHolders(gateway::Time now);
  void UpdateShares(gateway::Time now);
  void RemoveUnresponsivePeers(gateway::Time now);
  std::vector<gateway::GroupCondition> GroupConditions(gateway::Time now) const;
  gateway::GroupCondition ConditionOf(const gateway::GroupName& group,
                                      const gateway::GroupLimits& limits,
                                      gateway::Time now) const;

  log4cplus::Logger m_logger;
  gateway::Engine& m_engine;
  const gateway::InstanceEntry m_entry;
  adapter::StoreClient m_registrar_client;
  adapter::StoreClient m_record_client;
  adapter::StoreClient m_removal_client;
  adapter::PromotionClient m_promotion_client;
  gateway::InstanceRegistrar m_registrar;
  gateway::PeerView m_peers;
  gateway::ReplacementCoordinator m_coordinator;
  gateway::PeerReadRevisions m_peer_record;
  gateway::ReplacementWatch m_replacement_watch;
  gossip::DatagramSocket m_datagrams;
  // A report that waits to be sent.
  struct OutgoingReport {
    asio::ip::udp::endpoint m_receiver;
    std::string m_bytes;
  };
  std::deque<OutgoingReport> m_outgoing;
  std::size_t m_outgoing_bytes = 0;
  gateway::CustomerHolders m_holders;
  gateway::Time m_last_digest;
  gateway::StoreObjects m_objects;
  std::vector<gateway::InstanceEntry> m_entries;
  // Unset before this instance's first own call for the entries.
  std::optional<gateway::Time> m_instances_as_of;
  Hooks m_hooks;
  bool m_stopping = false;
  bool m_has_known_primaries = false;
  // The time from which contact counts, when it was last applied.
  std::optional<gateway::Time> m_registered_since;
  gateway::Time m_last_report;
  // Acknowledged revision in the last report.
  gateway::Revision m_reported_revision;
};

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_FLEET_DUTY_H_
