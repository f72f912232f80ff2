#ifndef SRC_CORE_CONNECTION_SHARES_H_
#define SRC_CORE_CONNECTION_SHARES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/reclaimed_holders.h"
#include "src/core/share_environment.h"
#include "src/core/share_holder.h"
#include "src/core/share_options.h"

namespace jasminelug::core {

// Holds this instance's shares of the connections to each database.
class ConnectionShares {
 public:
  explicit ConnectionShares(ShareHooks hooks) : m_hooks(std::move(hooks)) {}

  void OnConfiguration(const Configuration& configuration,
                       const ShareEnvironment& environment,
                       Context& context);

  void OnObject(const Object& object, const ShareEnvironment& environment);

  void OnTick(const ShareEnvironment& environment,
              ReclaimedHolders& reclaimed,
              Context& context);

  // Calls the hook for each database whose usable share has changed.
  void Refresh(const ShareEnvironment& environment);

  // Returns this instance's share of connections, regardless of whether the
  // instance is fenced.
  uint32_t ShareOf(const DatabaseName& database,
                   const ShareEnvironment& environment) const;

  bool OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          const ShareEnvironment& environment,
                          Context& context);

  bool ListsInstance(const InstanceId& instance) const;

 private:
  struct Entry {
    explicit Entry(const DatabaseName& database)
        : m_database(database),
          m_name("connections/" + database.str()),
          m_holder(m_name) {}

    DatabaseName m_database;
    std::string m_name;
    ShareHolder m_holder;
    ShareAmount m_goal;
    Revision m_goal_revision;
    bool m_removed = false;
    uint32_t m_last_reported_share = 0;
  };

  uint32_t UsableShare(const Entry& entry,
                       const ShareEnvironment& environment) const;
  void ApplyShare(Entry& entry, const ShareEnvironment& environment);
  bool HasAtMost(const Entry& entry, uint64_t connections) const;
  void UpdateTable(Entry& entry,
                   const ShareEnvironment& environment,
                   ReclaimedHolders& reclaimed,
                   Context& context);

  ShareHooks m_hooks;
  std::map<DatabaseName, std::unique_ptr<Entry>> m_entries;
  std::unordered_map<std::string, Entry*> m_by_name;
  std::unordered_map<CallId, Entry*> m_calls;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONNECTION_SHARES_H_
