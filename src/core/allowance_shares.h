#ifndef SRC_CORE_ALLOWANCE_SHARES_H_
#define SRC_CORE_ALLOWANCE_SHARES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/allowance_account.h"
#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/reclaimed_holders.h"
#include "src/core/share_environment.h"
#include "src/core/share_holder.h"
#include "src/core/share_request.h"

namespace jasminelug::core {

struct AllowanceKeyHash {
  size_t operator()(const AllowanceKey& key) const {
    const size_t customer = std::hash<CustomerName>()(key.m_customer);
    return customer * 31 + std::hash<ProfileName>()(key.m_profile);
  }
};

// Holds this instance's shares of the rate and burst of every allowance, that
// is, of each profile of each customer.
class AllowanceShares {
 public:
  // The numbers of this instance's requests for credit start above
  // `first_number`.
  explicit AllowanceShares(uint64_t first_number)
      : m_last_number(first_number) {}

  void OnConfiguration(const Configuration& configuration,
                       const ShareEnvironment& environment,
                       Context& context);

  // Handles a new version of a share table; ignores objects of other resources.
  void OnObject(const Object& object,
                const ShareEnvironment& environment,
                Context& context);

  // Updates tables and requests credit. Every allowance that is short of credit
  // is processed on each tick, all others in turn over several ticks.
  void OnTick(const ShareEnvironment& environment,
              ReclaimedHolders& reclaimed,
              Context& context);

  // Recomputes the usable shares after the fence or a table has changed.
  void Refresh(const ShareEnvironment& environment, Context& context);

  // Returns the account of `key`, or nullptr if the configuration has no such
  // allowance.
  AllowanceAccount* Find(const AllowanceKey& key);
  const AllowanceAccount* Find(const AllowanceKey& key) const;

  // Returns whether peers may transfer credit of an allowance within
  // `max_wait`.
  bool MayReceiveCredit(const AllowanceKey& key,
                        Duration max_wait,
                        Time now) const;

  // Requests credit from peers if the allowance is short of it.
  void RequestIfShort(const AllowanceKey& key, Context& context);

  bool OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          const ShareEnvironment& environment,
                          Context& context);

  // Returns whether any table lists the instance, or may list it once a pending
  // write takes effect.
  bool ListsInstance(const InstanceId& instance) const;

 private:
  struct Entry {
    Entry(AllowanceKey key, std::string name)
        : m_account(std::move(key)),
          m_name(std::move(name)),
          m_holder(m_name) {}

    AllowanceAccount m_account;
    std::string m_name;
    ShareHolder m_holder;
    ShareAmount m_goal;
    // Revision of the configuration that m_goal comes from.
    Revision m_goal_revision;
    ShareRequest m_share_request;
    Time m_next_request_update;
    bool m_removed = false;
    bool m_had_share = false;
    // Peers that are granted a share and may therefore transfer credit.
    std::vector<InstanceId> m_credit_peers;
  };

  using Entries = std::
      unordered_map<AllowanceKey, std::unique_ptr<Entry>, AllowanceKeyHash>;

  void Install(const AllowanceKey& key,
               const Profile& profile,
               Revision revision);
  void ApplyShare(Entry& entry,
                  const ShareEnvironment& environment,
                  Context& context);
  void UpdateTable(Entry& entry,
                   const ShareEnvironment& environment,
                   ReclaimedHolders& reclaimed,
                   Context& context);
  void UpdateShareRequest(Entry& entry,
                          const ShareEnvironment& environment,
                          Context& context);
  void UpdateCreditPeers(Entry& entry, const ShareEnvironment& environment);

  Entries m_entries;
  std::unordered_map<std::string, Entry*> m_by_name;
  // All entries, in the order in which OnTick processes them.
  std::vector<Entry*> m_ordered_entries;
  size_t m_next_entry = 0;
  std::unordered_map<CallId, Entry*> m_calls;
  uint64_t m_last_number;
  // Live instances and whether shares were being released, as of the last tick.
  // A change makes OnTick recompute every requested share.
  std::vector<InstanceId> m_last_live;
  bool m_last_releasing = false;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_ALLOWANCE_SHARES_H_
