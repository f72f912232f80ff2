#ifndef APPS_GATEWAY_STATE_DUTY_H_
#define APPS_GATEWAY_STATE_DUTY_H_

#include <log4cplus/logger.h>

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "apps/gateway/settings.h"
#include "apps/gateway/store_link.h"
#include "jasminelug/gateway.h"
#include "platform/store_client.h"

namespace jasminelug::gateway_app {

// Keeps this instance's copies of the store's objects up to date: by following
// the store, or from other instances. See gateway::FollowerElection,
// StateRelay and CopyBootstrap for the decisions.
class StateDuty {
 public:
  struct Hooks {
    // Called when the copy of a kind was changed or first made. The copy
    // contains all changes up to the store's revision `complete`.
    std::function<void(gateway::StoreKind kind,
                       const gateway::StoreObjects& objects,
                       gateway::Revision complete)>
        m_changed;
    // Called when a copy was verified: it is no older than `as_of`. `own_call`
    // tells whether a call of this instance verified it.
    std::function<
        void(gateway::StoreKind kind, gateway::Time as_of, bool own_call)>
        m_verified;
    // Returns the time since the copy of a kind was last verified; nullopt if
    // it never was, or if the contact of that kind is not tracked.
    std::function<std::optional<gateway::Duration>(gateway::StoreKind kind,
                                                   gateway::Time now)>
        m_contact_age;
    // Called with the registered instances that a possibly outdated list names,
    // before this instance has a copy of them.
    std::function<void(const gateway::StoreObjects& objects)> m_neighbours;
    // Sends a message to another instance.
    std::function<void(const gateway::InstanceId& instance,
                       const gateway::StateMessage& message)>
        m_send;
  };

  StateDuty(asio::io_context& io,
            const Settings& settings,
            const gateway::InstanceEntry& self,
            Hooks hooks);

  void Start(gateway::Time now);

  // Handles the revisions that another instance of this cell has reported.
  void OnReport(const gateway::InstanceId& sender,
                const std::vector<gateway::CopyRevision>& copies,
                gateway::Time now);

  // Handles a report of an instance that this one does not know.
  void OnUnknownReporter(const gateway::InstanceId& sender) {
    m_bootstrap.OnCopyHolder(sender);
  }

  void OnMessage(const gateway::InstanceId& sender,
                 const gateway::StateMessage& message,
                 gateway::Time now);

  // Reads what has changed in a kind from the store at once.
  void Refresh(gateway::StoreKind kind, gateway::Time now);

  // Takes over the replacement record that this instance has just written. The
  // store holds no other object of its kind.
  void OnRecordWritten(const gateway::StoreObject& record);

  void OnTick(const gateway::FollowerCandidate& self, gateway::Time now);

  // Returns the revisions of the copies, for the reports to other instances.
  std::vector<gateway::CopyRevision> Copies() const;

  // Returns whether there is a copy of every kind.
  bool is_complete() const;

  // Number of calls to the store since the start, by kind; exported as metrics.
  struct CallCount {
    gateway::StoreKind m_kind;
    std::uint64_t m_calls;
  };
  std::vector<CallCount> CallCounts() const;

 private:
  using Links = std::map<gateway::StoreKind, std::unique_ptr<StoreLink>>;

  std::unique_ptr<StoreLink> MakeLink(asio::io_context& io,
                                      const Settings& settings,
                                      gateway::StoreKind kind);
  gateway::StateRelay::Hooks MakeRelayHooks();
  gateway::FollowerElection::Hooks MakeFollowerHooks();
  gateway::CopyBootstrap::Hooks MakeBootstrapHooks();
  double Random();
  StoreLink& LinkOf(gateway::StoreKind kind) const { return *m_links.at(kind); }
  void ReadNeighbours(gateway::Time now);
  void Request(const gateway::InstanceId& peer,
               gateway::StoreKind kind,
               gateway::Time now);
  void OnRequest(const gateway::InstanceId& sender,
                 const gateway::StateRequest& request,
                 gateway::Time now);
  void OnUpdate(const gateway::InstanceId& sender,
                const gateway::StateUpdate& update,
                gateway::Time now);
  void OnChanged(gateway::StoreKind kind, const gateway::StoreObjects& objects);
  void OnVerified(gateway::StoreKind kind, gateway::Time sent);
  void AnswerWaiting(gateway::StoreKind kind, gateway::Time now);
  void UpdateFollowing(gateway::Time now);
  void VerifyEntries(gateway::Time now);
  void UpdateRelay(gateway::StoreKind kind, gateway::Time now);
  void RefreshLostLinks(gateway::Time now);

  // A request that cannot be answered before this instance has a copy.
  struct WaitingRequest {
    gateway::InstanceId m_sender;
    gateway::StateRequest m_request;
  };

  // The requests for one kind that were sent to a peer and are not answered.
  struct PendingRequests {
    // Returns whether `update` may answer one of them.
    bool Include(const gateway::StateUpdate& update) const {
      return !update.m_number ||
             (*update.m_number >= m_first && *update.m_number <= m_last);
    }

    // Time of the first one.
    gateway::Time m_sent;
    // Numbers of the first and of the last one.
    std::uint64_t m_first = 0;
    std::uint64_t m_last = 0;
  };

  log4cplus::Logger m_logger;
  const gateway::InstanceEntry m_self;
  const Hooks m_hooks;
  std::mt19937_64 m_random;
  // Number of the next request. The numbers of a run begin at its incarnation,
  // which counts microseconds and so is above all numbers of earlier runs.
  std::uint64_t m_next_request;
  Links m_links;
  adapter::StoreClient m_neighbour_client;
  std::optional<gateway::Time> m_neighbours_requested;
  bool m_has_neighbours = false;
  gateway::StateRelay m_relay;
  gateway::FollowerElection m_follower;
  gateway::CopyLag m_entries_lag;
  gateway::CopyBootstrap m_bootstrap;
  std::map<std::pair<gateway::InstanceId, gateway::StoreKind>, PendingRequests>
      m_requested;
  std::vector<WaitingRequest> m_waiting;
};

}  // namespace jasminelug::gateway_app

#endif  // APPS_GATEWAY_STATE_DUTY_H_
