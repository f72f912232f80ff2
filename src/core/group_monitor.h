#ifndef SRC_CORE_GROUP_MONITOR_H_
#define SRC_CORE_GROUP_MONITOR_H_

#include <map>
#include <memory>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/group.h"
#include "src/core/ids.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Holds a Group for each configured database and passes events to them.
class GroupMonitor {
 public:
  GroupMonitor(InstanceId self, GroupHooks hooks)
      : m_self(std::move(self)), m_hooks(std::move(hooks)) {}

  GroupMonitor(const GroupMonitor&) = delete;
  GroupMonitor& operator=(const GroupMonitor&) = delete;

  // Returns the group of `database`; nullptr if it is not configured.
  Group* Find(const DatabaseName& database);

  void OnConfiguration(const Configuration& configuration, Context& context);
  void OnControlAnswered(CallId call,
                         const ControlAnswer& answer,
                         Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const GroupReport& report,
                     Context& context);
  void OnPeerMessage(const PeerSender& from,
                     const PrimarySuspicion& suspicion,
                     Context& context);

  // Handles an object of kind ObjectKind::kGroup. Ignores objects that name no
  // configured database or that cannot be parsed.
  void OnObject(const Object& object, Context& context);

  void OnPaused(Context& context);
  void OnTick(Context& context);

 private:
  InstanceId m_self;
  GroupHooks m_hooks;
  std::map<DatabaseName, std::unique_ptr<Group>> m_groups;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_GROUP_MONITOR_H_
