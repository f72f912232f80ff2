#include "src/core/engine.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "src/common/assert.h"
#include "src/core/configuration_codec.h"
#include "src/core/group_record.h"
#include "src/core/instance_record.h"
#include "src/core/lease_record.h"

namespace jasminelug::core {
namespace {

// A longer time between two events means that this process was paused, because
// a Tick arrives at least every kTickInterval.
constexpr Duration kPauseLimit = 250ms;

// Time after the request for a shutdown at which open transactions are rolled
// back.
constexpr Duration kDrainLimit = 30s;

// Maximum time to wait for the release of the shares at shutdown. If the
// platform is down, they stay with the lease until it is reclaimed.
constexpr Duration kReleaseLimit = 5s;

// Returns the fields of an instance's object that the ShareManager needs, or
// nullopt if the object is invalid.
std::optional<LeaseRecord> ReadLease(const Object& object) {
  const auto parsed =
      ParseInstanceRecord(InstanceId(object.m_key.m_name), object.m_value);
  if (!IsOk(parsed)) {
    return std::nullopt;
  }
  const InstanceRecord& record = GetValue(parsed);
  return LeaseRecord{record.m_incarnation, record.m_series, record.m_lease,
                     record.m_cell};
}

}  // namespace

Engine::Engine(EngineOptions options)
    : m_options(std::move(options)), m_context(m_options.m_seed) {
  MakeControl();
  MakeShares();
  MakePool();
  MakeGroups();
  MakeRouter();
  m_context.SetAddressLookup([this](const InstanceId& peer) {
    return m_control->Members().AddressOf(peer);
  });
}

Engine::~Engine() = default;

std::vector<Action> Engine::Start(Time now) {
  std::vector<Action> actions;
  m_last_event = now;
  m_context.Start(now, &actions);
  m_control->Start(m_context);
  return actions;
}

std::vector<Action> Engine::Handle(const Event& event, Time now) {
  JASMINELUG_ASSERT(!m_last_event || now >= *m_last_event,
                    TIME_NEVER_GOES_BACK);
  std::vector<Action> actions;
  m_context.Start(now, &actions);
  if (m_last_event && now - *m_last_event > kPauseLimit) {
    m_groups->OnPaused(m_context);
  }
  m_last_event = now;
  std::visit([this](const auto& kind) { On(kind); }, event);
  return actions;
}

void Engine::On(const RequestReceived& event) {
  m_router->OnRequest(event, m_context);
}

void Engine::On(const CallerGone& event) {
  m_router->OnCallerGone(event.m_request, m_context);
}

void Engine::On(const ConnectionOpened& event) {
  m_pool->OnOpened(event.m_connection, m_context);
}

void Engine::On(const ConnectionClosed& event) {
  m_pool->OnClosed(event, m_context);
}

void Engine::On(const StatementFinished& event) {
  m_router->OnStatementFinished(event, m_context);
}

void Engine::On(const ControlAnswered& event) {
  m_pool->OnControlAnswered(event.m_call, event.m_answer, m_context);
}

void Engine::On(const PlatformAnswered& event) {
  switch (Context::OwnerOf(event.m_call)) {
    case CallOwner::kConfiguration:
    case CallOwner::kMembership:
      m_control->OnPlatformAnswered(event, m_context);
      return;
    case CallOwner::kShares:
      m_shares->OnPlatformAnswered(event.m_call, event.m_answer, m_context);
      return;
    case CallOwner::kGroups:
    case CallOwner::kRouter:
      // The answer to the publication of a primary is not needed. The object
      // only helps other instances to find the primary sooner.
      return;
  }
}

void Engine::On(const PeerMessageReceived& event) {
  if (!m_control->OnPeerMessage(event, m_context)) {
    return;
  }
  std::visit(
      [this, &event](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, GroupReport> ||
                      std::is_same_v<Message, PrimarySuspicion>) {
          m_groups->OnPeerMessage(event.m_from, message, m_context);
        } else if constexpr (!std::is_same_v<Message, Heartbeat> &&
                             !std::is_same_v<Message, ObjectsRequest> &&
                             !std::is_same_v<Message, RelayedObjects>) {
          m_shares->OnPeerMessage(event.m_from, message, m_context);
        }
      },
      event.m_message);
}

void Engine::On(const PeerUnreachable& event) {
  m_control->OnPeerUnreachable(event, m_context);
  m_shares->OnPeerUnreachable(event);
}

void Engine::On(const Tick& /*event*/) {
  m_control->OnTick(m_context);
  m_shares->OnTick(m_context);
  m_pool->OnTick(m_context);
  m_groups->OnTick(m_context);
  m_router->OnTick(m_context);
  AdvanceShutdown();
}

void Engine::On(const ShutdownRequested& /*event*/) {
  if (m_shutdown_since) {
    return;
  }
  m_shutdown_since = m_context.Now();
  m_control->OnShutdownRequested(m_context);
}

void Engine::On(const SwitchoverRequested& event) {
  if (Group* group = m_groups->Find(event.m_database)) {
    group->RequestSwitchover(event.m_successor, m_context);
  }
}

void Engine::MakeControl() {
  ControlPlane::Hooks hooks;
  hooks.m_on_installed = [this](const ConfigurationPtr& configuration,
                                Context&) { OnInstalled(configuration); };
  hooks.m_on_object = [this](const Object& object, Context&) {
    OnObject(object);
  };
  hooks.m_on_contact = [this](bool reachable, Context& context) {
    m_shares->OnPlatformContact(reachable, context);
  };
  hooks.m_on_lease = [this](const OwnLease& lease, Context& context) {
    m_shares->OnOwnLease(lease, context);
  };
  hooks.m_on_fenced = [](Context& context) { context.Emit(StopProcess{}); };
  hooks.m_on_deregistered = [](Context& context) {
    TimelineEvent event;
    event.m_kind = TimelineKind::kShutdownFinished;
    context.Record(std::move(event));
    context.Emit(StopProcess{});
  };
  hooks.m_holds_shares = [this](const InstanceId& instance) {
    return m_shares->NamesHolder(instance);
  };
  m_control =
      std::make_unique<ControlPlane>(m_options.m_membership, std::move(hooks));
}

void Engine::MakeShares() {
  ShareHooks hooks;
  hooks.m_on_connection_share_changed = [this](const DatabaseName& database,
                                               uint32_t share) {
    m_pool->ShrinkTo(database, share, m_context);
  };
  // There is no hook for changes of credit, because requests that wait for
  // credit try again with each tick.
  hooks.m_connections_at_most = [this](const DatabaseName& database,
                                       uint32_t share) {
    return m_pool->ShrinkTo(database, share, m_context);
  };
  ShareOptions options = m_options.m_shares;
  options.m_first_number = m_context.Random()() >> 1U;
  options.m_lease_reader = ReadLease;
  m_shares =
      std::make_unique<ShareManager>(std::move(options), std::move(hooks));
}

void Engine::MakePool() {
  ConnectionPool::Hooks hooks;
  hooks.m_share = [this](const DatabaseName& database) {
    return m_shares->ConnectionShare(database, m_context);
  };
  hooks.m_on_available = [this](const DatabaseName& database,
                                Context& context) {
    m_router->StartQueued(database, context);
  };
  hooks.m_on_lost = [this](ConnectionId connection, Context& context) {
    m_router->OnConnectionLost(connection, context);
  };
  hooks.m_on_member_failure = [this](const DatabaseName& database,
                                     const MemberId& member, bool refused,
                                     Context& context) {
    if (Group* group = m_groups->Find(database)) {
      group->OnMemberFailure(member, refused, context);
    }
  };
  hooks.m_on_answer = [this](CallId call, const ControlAnswer& answer,
                             Context& context) {
    m_groups->OnControlAnswered(call, answer, context);
  };
  m_pool = std::make_unique<ConnectionPool>(std::move(hooks));
}

void Engine::MakeGroups() {
  GroupHooks hooks;
  hooks.m_call = [this](const Database& database, const Member& member,
                        ControlRequest request, Context& context) {
    return m_pool->Call(database.m_name, member, std::move(request), context);
  };
  hooks.m_live_peers = [this] { return LivePeers(); };
  hooks.m_is_zone_out = [this](const ZoneName& zone) {
    const ConfigurationPtr& configuration = m_control->Store().Current();
    return configuration != nullptr && configuration->IsZoneOut(zone);
  };
  hooks.m_has_connection = [this](const DatabaseName& database,
                                  const MemberId& member) {
    return m_pool->HasConnection(database, member);
  };
  hooks.m_on_primary_changed = [this](const DatabaseName& database,
                                      Context& context) {
    m_router->OnPrimaryChanged(database, context);
  };
  hooks.m_on_settled = [this](const DatabaseName& database,
                              const SettledConfirmation& settled,
                              Context& context) {
    m_router->OnSettled(database, settled, context);
  };
  hooks.m_publish = [this](const DatabaseName& database, Term term,
                           const MemberId& primary, Context&) {
    PublishPrimary(database, term, primary);
  };
  hooks.m_may_promote = m_options.m_may_promote;
  m_groups = std::make_unique<GroupMonitor>(m_options.m_membership.m_id,
                                            std::move(hooks));
}

void Engine::MakeRouter() {
  RequestRouter::Hooks hooks;
  hooks.m_authorize = [this](const Secret& key, const Context& context) {
    return m_control->Keys().Authorize(key, context);
  };
  hooks.m_check_service = [this](const Context& context) {
    return m_control->Service().CheckNewRequest(context);
  };
  hooks.m_work_fraction = [this](const ZoneName& zone, const Context& context) {
    return m_control->Ramp().WorkFraction(zone, context);
  };
  hooks.m_configuration = [this] { return m_control->Store().Current(); };
  hooks.m_on_admitted = m_options.m_on_admitted;
  m_router = std::make_unique<RequestRouter>(
      m_options.m_membership.m_id, m_options.m_membership.m_zone,
      m_options.m_baselines, std::move(hooks), m_shares.get(), m_groups.get(),
      m_pool.get());
}

void Engine::OnInstalled(const ConfigurationPtr& configuration) {
  m_groups->OnConfiguration(*configuration, m_context);
  m_shares->OnConfiguration(configuration, m_context);
  m_router->OnConfiguration(*configuration, m_context);
}

void Engine::OnObject(const Object& object) {
  if (object.m_key.m_kind == ObjectKind::kGroup) {
    m_groups->OnObject(object, m_context);
  } else {
    m_shares->OnObjectChanged(object, m_context);
  }
}

void Engine::PublishPrimary(const DatabaseName& database,
                            Term term,
                            const MemberId& primary) {
  const ObjectKey key{ObjectKind::kGroup, database.str()};
  const Object* known = m_control->Store().Objects().Find(key);
  PutObject put;
  put.m_key = key;
  put.m_expected_version =
      known == nullptr || known->m_deleted ? 0 : known->m_version;
  put.m_value = FormatGroupRecord(GroupRecord{term, primary});
  put.m_write_id = m_options.m_membership.m_id.str() + "/" + database.str() +
                   "/" + std::to_string(term.value());
  m_context.CallThePlatform(CallOwner::kGroups, std::move(put));
}

std::vector<InstanceId> Engine::LivePeers() const {
  std::vector<InstanceId> live;
  for (const PeerInfo& peer : m_control->Members().Peers()) {
    if (peer.m_live) {
      live.push_back(peer.m_id);
    }
  }
  return live;
}

// Advances a requested shutdown: waits for the open requests and transactions
// to end, releases the shares, and deletes the lease. The process stops when
// the lease has been deleted.
void Engine::AdvanceShutdown() {
  if (!m_shutdown_since || m_is_deregistering) {
    return;
  }
  const Time now = m_context.Now();
  if (!m_released_since) {
    if (now - *m_shutdown_since >= kDrainLimit) {
      m_router->AbortTransactions(m_context);
    }
    const bool is_idle =
        m_router->ActiveCount() == 0 && m_router->OpenTransactions() == 0;
    if (!is_idle) {
      return;
    }
    m_released_since = now;
    m_shares->ReleaseAll(m_context);
  }
  if (m_shares->Released() || now - *m_released_since >= kReleaseLimit) {
    m_is_deregistering = true;
    m_control->Deregister(m_context);
  }
}

}  // namespace jasminelug::core
