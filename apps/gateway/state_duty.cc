#include "apps/gateway/state_duty.h"

#include <algorithm>

#include "apps/gateway/clock.h"
#include "platform/endpoint.h"
#include "platform/store_objects.h"

namespace jasminelug::gateway_app {
namespace {

using gateway::StoreKind;
using gateway::operator""ms;
using gateway::operator""s;

// Wait of the watches for the kinds whose copies have to be verified
// continuously: the configuration and the replacement record. When the store
// becomes unavailable, the last contact is at most twice as old, and the copies
// are used until it is too old.
constexpr gateway::Duration kVerifiedKindWatchWait = 500ms;
// Wait of the watches for the other kinds.
constexpr gateway::Duration kOtherKindWatchWait = 28s;
// Pause after a change before the next watch. Some kinds change many times a
// second, for example while the fleet starts; the pause bounds how often the
// store is called.
constexpr gateway::Duration kPauseAfterChange = 100ms;
// Maximum delay between two retries. The link of the configuration finds out
// first that the store is back and then refreshes the other lost links.
constexpr gateway::Duration kConfigurationRetryDelay = 800ms;
constexpr gateway::Duration kOtherRetryDelay = 10s;
// A copy that was verified this recently is not verified again when this
// instance begins to follow the store.
constexpr gateway::Duration kRecentContact = 500ms;
// Time after which the list of neighbours is requested again.
constexpr gateway::Duration kNeighboursTimeout = 700ms;
// Maximum number of requests that wait for a copy.
constexpr std::size_t kMaxWaitingRequests = 512;

bool IsVerifiedKind(StoreKind kind) {
  return kind == StoreKind::kConfiguration || kind == StoreKind::kReplacements;
}

gateway::StoreObject Decode(StoreKind kind,
                            const std::string& encoded,
                            gateway::StoreEpoch epoch) {
  return adapter::DecodeObject(kind, encoded, epoch);
}

}  // namespace

StateDuty::StateDuty(asio::io_context& io,
                     const Settings& settings,
                     const gateway::InstanceEntry& self,
                     Hooks hooks)
    : m_logger(log4cplus::Logger::getInstance("state")),
      m_self(self),
      m_hooks(std::move(hooks)),
      m_random(std::random_device()()),
      m_next_request(self.m_incarnation.value()),
      m_neighbour_client(io, *adapter::ParseEndpoint(settings.m_store)),
      m_relay(MakeRelayHooks()),
      m_follower(MakeFollowerHooks()),
      m_bootstrap(self.m_id, self.m_zone, MakeBootstrapHooks()) {
  for (const StoreKind kind : gateway::kStoreKinds) {
    m_links.emplace(kind, MakeLink(io, settings, kind));
  }
}

double StateDuty::Random() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::unique_ptr<StoreLink> StateDuty::MakeLink(asio::io_context& io,
                                               const Settings& settings,
                                               StoreKind kind) {
  StoreLink::Hooks hooks;
  hooks.m_changed = [this, kind](const gateway::StoreObjects& objects) {
    OnChanged(kind, objects);
  };
  hooks.m_verified = [this, kind](gateway::Time sent) {
    OnVerified(kind, sent);
  };
  hooks.m_lost = [this, kind](const std::string& reason) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "lost contact with the store",
        {{"kind", std::string(NameOf(kind))}, {"reason", reason}});
  };
  hooks.m_regained = [this, kind] {
    Log(m_logger, log4cplus::INFO_LOG_LEVEL, "regained contact with the store",
        {{"kind", std::string(NameOf(kind))}});
    if (kind == StoreKind::kConfiguration) {
      RefreshLostLinks(Now());
    }
  };
  hooks.m_random = [this] { return Random(); };
  gateway::StoreFollowerOptions options;
  options.m_watch_wait =
      IsVerifiedKind(kind) ? kVerifiedKindWatchWait : kOtherKindWatchWait;
  options.m_max_retry_delay = kind == StoreKind::kConfiguration
                                  ? kConfigurationRetryDelay
                                  : kOtherRetryDelay;
  auto link =
      std::make_unique<StoreLink>(io, *adapter::ParseEndpoint(settings.m_store),
                                  kind, options, std::move(hooks));
  link->follower().SetPauseAfterChange(kPauseAfterChange);
  link->follower().SetFollowing(false, gateway::Time());
  return link;
}

gateway::StateRelay::Hooks StateDuty::MakeRelayHooks() {
  return {[this](const gateway::InstanceId& peer, StoreKind kind) {
            Request(peer, kind, Now());
          },
          [this] { return Random(); }};
}

gateway::FollowerElection::Hooks StateDuty::MakeFollowerHooks() {
  return {[this] { Refresh(StoreKind::kConfiguration, Now()); },
          [this] { return Random(); }};
}

gateway::CopyBootstrap::Hooks StateDuty::MakeBootstrapHooks() {
  return {[this](const gateway::InstanceId& neighbour) {
            for (const StoreKind kind : gateway::kStoreKinds) {
              Request(neighbour, kind, Now());
            }
          },
          [this] { ReadNeighbours(Now()); },
          [this] { Refresh(StoreKind::kConfiguration, Now()); },
          [this] { return Random(); }};
}

void StateDuty::Start(gateway::Time now) {
  m_bootstrap.Start(now);
  ReadNeighbours(now);
}

// Reads the registered instances to find neighbours that may have a copy. The
// list may be outdated: the platform charges little for such a call.
void StateDuty::ReadNeighbours(gateway::Time now) {
  m_neighbour_client.Abandon();
  m_neighbours_requested = now;
  m_neighbour_client.List(
      StoreKind::kInstances, "", adapter::ListConsistency::kMayBeOutdated,
      [this](const auto& result) {
        if (!IsOk(result)) {
          Log(m_logger, log4cplus::WARN_LOG_LEVEL,
              "could not list the instances",
              {{"reason", GetError(result).m_message}});
          return;
        }
        m_has_neighbours = true;
        gateway::StoreObjects objects;
        std::vector<gateway::InstanceEntry> entries;
        for (const gateway::StoreObject& object : GetValue(result).m_objects) {
          objects.emplace(object.m_name, object);
          if (const auto* entry =
                  std::get_if<gateway::InstanceEntry>(&object.m_value)) {
            entries.push_back(*entry);
          }
        }
        m_hooks.m_neighbours(objects);
        m_bootstrap.OnNeighbours(entries, Now());
      });
}

void StateDuty::OnReport(const gateway::InstanceId& sender,
                         const std::vector<gateway::CopyRevision>& copies,
                         gateway::Time now) {
  m_relay.OnReport(sender, copies, now);
  for (const gateway::CopyRevision& copy : copies) {
    LinkOf(copy.m_kind).follower().Confirm(copy.m_changed, copy.m_complete);
  }
  if (!m_bootstrap.is_finished()) {
    m_bootstrap.OnCopyHolder(sender);
    return;
  }
  for (const StoreKind kind : gateway::kStoreKinds) {
    UpdateRelay(kind, now);
  }
}

void StateDuty::Request(const gateway::InstanceId& peer,
                        StoreKind kind,
                        gateway::Time now) {
  const gateway::StoreFollower& copy = LinkOf(kind).follower();
  gateway::StateRequest request =
      gateway::MakeStateRequest(kind, copy.objects(), copy.changed());
  request.m_number = m_next_request++;
  // Keeps the time of an earlier request that is not answered yet: the next
  // answer may belong to it, and proves no more than that.
  const auto pending = m_requested.try_emplace(
      {peer, kind}, PendingRequests{now, *request.m_number});
  pending.first->second.m_last = *request.m_number;
  m_hooks.m_send(peer, request);
}

void StateDuty::OnMessage(const gateway::InstanceId& sender,
                          const gateway::StateMessage& message,
                          gateway::Time now) {
  if (const auto* request = std::get_if<gateway::StateRequest>(&message)) {
    OnRequest(sender, *request, now);
  } else {
    OnUpdate(sender, std::get<gateway::StateUpdate>(message), now);
  }
}

void StateDuty::OnRequest(const gateway::InstanceId& sender,
                          const gateway::StateRequest& request,
                          gateway::Time now) {
  const gateway::StoreFollower& copy = LinkOf(request.m_kind).follower();
  if (copy.is_listed()) {
    m_hooks.m_send(sender, gateway::MakeStateUpdate(
                               request, copy.objects(), copy.changed(),
                               m_hooks.m_contact_age(request.m_kind, now)));
    return;
  }
  if (m_waiting.size() < kMaxWaitingRequests) {
    m_waiting.push_back({sender, request});
  }
  m_bootstrap.OnAsked(now);
}

void StateDuty::AnswerWaiting(StoreKind kind, gateway::Time now) {
  const auto first = std::stable_partition(
      m_waiting.begin(), m_waiting.end(), [kind](const WaitingRequest& item) {
        return item.m_request.m_kind != kind;
      });
  const std::vector<WaitingRequest> answerable(first, m_waiting.end());
  m_waiting.erase(first, m_waiting.end());
  for (const WaitingRequest& item : answerable) {
    OnRequest(item.m_sender, item.m_request, now);
  }
}

void StateDuty::OnUpdate(const gateway::InstanceId& sender,
                         const gateway::StateUpdate& update,
                         gateway::Time now) {
  const auto requested = m_requested.find({sender, update.m_kind});
  if (requested == m_requested.end() || !requested->second.Include(update)) {
    return;
  }
  gateway::StoreFollower& copy = LinkOf(update.m_kind).follower();
  if (!copy.is_listed() && update.m_base != gateway::Revision()) {
    return;  // It answers a request of an earlier run of this instance.
  }
  const gateway::Time sent = requested->second.m_sent;
  m_requested.erase(requested);
  m_relay.TakeRequest(sender, update.m_kind);
  if (copy.is_listed() && copy.changed() != update.m_base) {
    return;  // The copy has changed meanwhile.
  }
  const auto objects =
      gateway::ApplyStateUpdate(copy.objects(), update, Decode);
  if (!objects) {
    Log(m_logger, log4cplus::WARN_LOG_LEVEL, "ignored a damaged update",
        {{"peer", sender.str()}, {"kind", std::string(NameOf(update.m_kind))}});
    return;
  }
  const bool covers_own_copy = !copy.is_listed() ||
                               update.m_changed >= copy.complete() ||
                               update.m_changed == copy.changed();
  if (update.m_age && covers_own_copy) {
    // The sender's copy was verified no earlier than this: it made the update
    // after the request was sent. Recorded first, because the adopted copy is
    // passed on at once to those that wait for it.
    m_hooks.m_verified(update.m_kind, sent - *update.m_age,
                       /*own_call=*/false);
  }
  copy.Adopt(*objects, update.m_changed);
  if (!m_bootstrap.is_finished() && is_complete()) {
    Log(m_logger, log4cplus::INFO_LOG_LEVEL, "got a copy from an instance",
        {{"peer", sender.str()}});
    m_bootstrap.Finish();
  }
  UpdateRelay(update.m_kind, now);
}

void StateDuty::OnChanged(StoreKind kind,
                          const gateway::StoreObjects& objects) {
  if (kind == StoreKind::kInstances) {
    m_relay.SetFleetSize(static_cast<int>(objects.size()));
  }
  m_hooks.m_changed(kind, objects, LinkOf(kind).follower().complete());
  AnswerWaiting(kind, Now());
}

void StateDuty::OnVerified(StoreKind kind, gateway::Time sent) {
  m_hooks.m_verified(kind, sent, /*own_call=*/true);
  if (kind != StoreKind::kConfiguration) {
    return;
  }
  const gateway::Time now = Now();
  m_follower.OnVerified(now);
  if (!m_bootstrap.is_finished()) {
    Log(m_logger, log4cplus::INFO_LOG_LEVEL, "got a copy from the store");
    m_bootstrap.Finish();
    m_follower.OnListed(now);
  }
}

void StateDuty::Refresh(StoreKind kind, gateway::Time now) {
  StoreLink& link = LinkOf(kind);
  // A link that follows the store and has lost it retries by itself.
  if (!link.follower().is_retrying()) {
    link.follower().Refresh(now);
  }
}

void StateDuty::OnRecordWritten(const gateway::StoreObject& record) {
  LinkOf(StoreKind::kReplacements)
      .follower()
      .Adopt({{record.m_name, record}}, record.m_revision);
}

void StateDuty::RefreshLostLinks(gateway::Time now) {
  for (const auto& [kind, link] : m_links) {
    if (link->follower().is_retrying()) {
      link->follower().Refresh(now);
    }
  }
}

void StateDuty::UpdateFollowing(gateway::Time now) {
  const bool follows = m_bootstrap.is_finished() && m_follower.follows(now);
  if (follows == LinkOf(StoreKind::kConfiguration).follower().is_following()) {
    return;
  }
  Log(m_logger, log4cplus::INFO_LOG_LEVEL,
      follows ? "follows the store" : "no longer follows the store");
  for (const auto& [kind, link] : m_links) {
    link->follower().SetFollowing(follows, now);
    const auto age = m_hooks.m_contact_age(kind, now);
    if (follows && IsVerifiedKind(kind) && age && *age > kRecentContact) {
      Refresh(kind, now);
    }
  }
}

void StateDuty::UpdateRelay(StoreKind kind, gateway::Time now) {
  m_relay.Update(kind, LinkOf(kind).follower().complete(), now);
}

// Verifies the copy of the instances' entries, which is not watched closely.
void StateDuty::VerifyEntries(gateway::Time now) {
  const gateway::StoreFollower& entries =
      LinkOf(StoreKind::kInstances).follower();
  const gateway::StoreFollower& record =
      LinkOf(StoreKind::kReplacements).follower();
  const bool overdue =
      m_entries_lag.TakeOverdue(entries.complete(), record.complete(), now);
  if (overdue && entries.is_following()) {
    Refresh(StoreKind::kInstances, now);
  }
}

void StateDuty::OnTick(const gateway::FollowerCandidate& self,
                       gateway::Time now) {
  for (const auto& [kind, link] : m_links) {
    link->follower().OnTick(now);
  }
  m_bootstrap.OnTick(now);
  if (!m_bootstrap.is_finished()) {
    if (!m_has_neighbours &&
        now - *m_neighbours_requested > kNeighboursTimeout) {
      ReadNeighbours(now);
    }
    return;
  }
  m_follower.OnTick(self, now);
  UpdateFollowing(now);
  for (const StoreKind kind : gateway::kStoreKinds) {
    UpdateRelay(kind, now);
    if (m_relay.TakeOverdue(kind, now)) {
      Refresh(kind, now);
    }
  }
  VerifyEntries(now);
}

std::vector<gateway::CopyRevision> StateDuty::Copies() const {
  std::vector<gateway::CopyRevision> copies;
  for (const auto& [kind, link] : m_links) {
    const gateway::StoreFollower& copy = link->follower();
    if (copy.is_listed()) {
      copies.push_back({kind, copy.changed(), copy.complete()});
    }
  }
  return copies;
}

bool StateDuty::is_complete() const {
  return std::all_of(m_links.begin(), m_links.end(), [](const auto& item) {
    return item.second->follower().is_listed();
  });
}

std::vector<StateDuty::CallCount> StateDuty::CallCounts() const {
  std::vector<CallCount> counts;
  for (const auto& [kind, link] : m_links) {
    counts.push_back({kind, link->calls()});
  }
  return counts;
}

}  // namespace jasminelug::gateway_app
