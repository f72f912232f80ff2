#ifndef SRC_CORE_ENGINE_H_
#define SRC_CORE_ENGINE_H_

#include <memory>
#include <optional>
#include <vector>

#include "src/core/action.h"
#include "src/core/configuration.h"
#include "src/core/connection_pool.h"
#include "src/core/context.h"
#include "src/core/control_plane.h"
#include "src/core/event.h"
#include "src/core/group_monitor.h"
#include "src/core/membership.h"
#include "src/core/request_router.h"
#include "src/core/share_manager.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Maximum time between two events. If nothing else happens, the process must
// pass a Tick to the engine.
inline constexpr Duration kTickInterval = 5ms;

// The options of an Engine.
struct EngineOptions {
  MembershipOptions m_membership;
  // Seed of all random choices.
  uint64_t m_seed = 0;
  ShareOptions m_shares;
  RouterBaselines m_baselines;
  // Called for each admitted request, for metrics and checks by tests; may be
  // empty.
  AdmissionObserver m_on_admitted;
  // Whether this instance may promote members. False only in baseline
  // measurements without any promotion.
  bool m_may_promote = true;
};

// Makes all decisions of one instance. It has no sockets, threads or clock: it
// takes an event with its time and returns actions. It must be used by one
// thread only. The same events, times and seed give the same actions.
//
//   Engine engine(options);
//   std::vector<Action> actions = engine.Start(now);
//   actions = engine.Handle(Event(Tick{}), now);
class Engine {
 public:
  explicit Engine(EngineOptions options);
  ~Engine();

  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Returns the first actions. Must be called once, before Handle().
  std::vector<Action> Start(Time now);

  // Handles an event and returns the resulting actions. `now` must not be
  // earlier than in the previous call.
  std::vector<Action> Handle(const Event& event, Time now);

  // Access to the state of the engine's parts, for operators' status pages.
  const ControlPlane& Control() const { return *m_control; }
  const ShareManager& Shares() const { return *m_shares; }
  const ConnectionPool& Connections() const { return *m_pool; }
  const RequestRouter& Requests() const { return *m_router; }
  GroupMonitor& Groups() { return *m_groups; }
  const Context& CurrentContext() const { return m_context; }

 private:
  void On(const RequestReceived& event);
  void On(const CallerGone& event);
  void On(const ConnectionOpened& event);
  void On(const ConnectionClosed& event);
  void On(const StatementFinished& event);
  void On(const ControlAnswered& event);
  void On(const PlatformAnswered& event);
  void On(const PeerMessageReceived& event);
  void On(const PeerUnreachable& event);
  void On(const Tick& event);
  void On(const ShutdownRequested& event);
  void On(const SwitchoverRequested& event);

  void MakeControl();
  void MakeShares();
  void MakePool();
  void MakeGroups();
  void MakeRouter();

  void OnInstalled(const ConfigurationPtr& configuration);
  void OnObject(const Object& object);
  void PublishPrimary(const DatabaseName& database,
                      Term term,
                      const MemberId& primary);
  std::vector<InstanceId> LivePeers() const;
  void AdvanceShutdown();

  EngineOptions m_options;
  Context m_context;
  std::unique_ptr<ControlPlane> m_control;
  std::unique_ptr<ShareManager> m_shares;
  std::unique_ptr<ConnectionPool> m_pool;
  std::unique_ptr<GroupMonitor> m_groups;
  std::unique_ptr<RequestRouter> m_router;

  std::optional<Time> m_last_event;
  std::optional<Time> m_shutdown_since;
  std::optional<Time> m_released_since;
  bool m_is_deregistering = false;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_ENGINE_H_
