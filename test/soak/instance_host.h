#ifndef TEST_SOAK_INSTANCE_HOST_H_
#define TEST_SOAK_INSTANCE_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/engine.h"
#include "test/soak/fake_group.h"
#include "test/soak/fake_store.h"
#include "test/soak/history.h"
#include "test/soak/world.h"

namespace jasminelug::soak {

class Fleet;

// One instance: an engine, and what carries its actions out.
class InstanceHost {
 public:
  InstanceHost(World* world,
               History* history,
               Fleet* fleet,
               uint64_t number,
               core::EngineOptions options);

  const core::InstanceId& id() const { return m_options.m_membership.m_id; }
  std::string zone() const { return m_options.m_membership.m_zone.str(); }
  NodeName Node() const { return "instance " + id().str(); }

  void Start();
  // Ends the process at once.
  void Kill();
  void Pause();
  void Resume();
  // Asks for a graceful shutdown.
  void Stop();

  bool IsUp() const { return m_engine != nullptr; }
  bool IsPaused() const { return m_is_paused; }
  bool IsReady() const { return m_is_ready && IsUp(); }
  bool IsStopping() const { return m_is_stopping; }
  // Place in the fleet, from 0.
  uint64_t number() const { return m_number; }
  // Number of the process; a restart is a new one.
  uint64_t Life() const { return m_life; }
  core::Engine* engine() { return m_engine.get(); }

  // An event has arrived at this life of the process.
  void Deliver(uint64_t life, core::Event event);

  // A database has reset a connection.
  void OnReset(uint64_t connection);

 private:
  struct Link {
    core::DatabaseName m_database;
    std::string m_address;
    core::ConnectionId m_connection;
    bool m_is_open = false;
    bool m_is_running = false;
  };

  void Tick(uint64_t life);
  void Perform(const std::vector<core::Action>& actions);
  void Do(const core::AnswerRequest& action);
  void Do(const core::OpenConnection& action);
  void Do(const core::CloseConnection& action);
  void Do(const core::RunStatement& action);
  void Do(const core::CallMember& action);
  void Do(const core::CallPlatform& action);
  void Do(const core::SendToPeer& action);
  void Do(const core::RecordEvent& action);
  void Do(const core::SetReadiness& action);
  void Do(const core::StopProcess& action);
  void SabotageEvent(core::Event* event);
  core::RunStatement SabotageStatement(core::RunStatement statement);
  void HideChanges(core::ObjectBatch* batch);
  void Later(Duration delay, core::Event event);
  // Numbers of connections are unique over the run.
  uint64_t GlobalNumber(core::ConnectionId connection) const;
  void CloseLink(uint64_t number, bool was_lost);

  World* m_world;
  History* m_history;
  Fleet* m_fleet;
  core::EngineOptions m_options;
  std::unique_ptr<core::Engine> m_engine;
  uint64_t m_life = 0;
  uint64_t m_number;
  bool m_is_paused = false;
  bool m_is_ready = false;
  bool m_is_stopping = false;
  std::vector<core::Event> m_inbox;
  std::map<uint64_t, Link> m_links;
  core::Revision m_last_revision;
  // For sabotage: the objects as first seen, the last key presented.
  std::map<core::ObjectKey, core::Object> m_seen;
  std::string m_last_key;
};

}  // namespace jasminelug::soak

#endif  // TEST_SOAK_INSTANCE_HOST_H_
