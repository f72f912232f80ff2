#ifndef SRC_CORE_LEASE_KEEPER_H_
#define SRC_CORE_LEASE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/core/context.h"
#include "src/core/instance_record.h"
#include "src/core/platform_call.h"
#include "src/core/time.h"

namespace jasminelug::core {

struct OwnLease;

inline constexpr Duration kDefaultLease = 12s;
// A lease is renewed this many times in its duration.
inline constexpr int kRenewalsPerLease = 3;
// How long a shutdown waits for the platform to delete the own lease object.
inline constexpr Duration kDeregisterLimit = 5s;

// Registers this instance with the platform and renews its lease.
//
// One write is under way at a time, and each carries an id of its own. Where
// its outcome is unknown, the object is read back: the id tells whether the
// write took effect. The lease is counted from before the write that is known
// to have taken effect, so it is never believed to last longer than others see
// it last.
class LeaseKeeper {
 public:
  struct Hooks {
    std::function<void(const OwnLease&, Context&)> m_on_lease;
    std::function<void(Context&)> m_on_fenced;
    std::function<void(Context&)> m_on_deregistered;
    // Returns who may vouch for the next renewal.
    std::function<std::vector<PeerSender>()> m_choose_cell;
  };

  // `record` says who this instance is; its cell and renewal are filled in.
  LeaseKeeper(InstanceRecord record, Hooks hooks);

  void Start(Context& context);
  void OnTick(Context& context);
  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context);

  // Takes in the own object as a watch shows it.
  void OnOwnObject(const Object& object, Context& context);

  // Renews at once with the mark that this instance takes no more work.
  void SetDraining(Context& context);

  // Deletes the own object.
  void Deregister(Context& context);

  // Returns whether a newer process runs under this id.
  bool IsFenced() const { return m_state == State::kFenced; }

  // Returns the time until which the lease is known to hold; nullopt if no
  // write is known to have taken effect.
  std::optional<Time> ValidUntil() const { return m_valid_until; }

 private:
  enum class State { kKeeping, kLeaving, kGone, kFenced };

  // A write that may have taken effect, or may do so yet.
  struct SentWrite {
    std::string m_write_id;
    Time m_sent;
    std::vector<PeerSender> m_cell;
  };

  void CallAgain(Context& context);
  void SendPut(Context& context);
  void SendGet(Context& context);
  void SendDelete(Context& context);
  void OnObject(const Object& object, Context& context);
  void OnProved(const SentWrite& write, const Object& object, Context& context);
  void OnForeign(const Object& object, Context& context);
  void OnFailure(const PlatformFailure& failure, Context& context);
  void OnAbsent(const Object& object, Context& context);
  void Fence(Context& context);
  void Finish(Context& context);
  void ReportLease(Context& context);
  void NoteLapse(Context& context);
  const SentWrite* FindWrite(const std::string& write_id) const;
  std::string NextWriteId();

  InstanceRecord m_record;
  Hooks m_hooks;
  State m_state = State::kKeeping;
  // Version that the next write expects; 0: no such object.
  uint64_t m_expected_version = 0;
  // Version of the last own write that is known to have taken effect.
  uint64_t m_proved_version = 0;
  std::vector<PeerSender> m_proved_cell;
  std::optional<Time> m_valid_until;
  bool m_lapse_noted = false;
  // Own writes from the proved one on, oldest first.
  std::vector<SentWrite> m_writes;
  uint64_t m_last_write = 0;
  std::optional<CallId> m_call;
  Time m_call_overdue;
  bool m_must_read = false;
  Time m_next_call;
  Duration m_retry_delay{};
  Time m_leave_limit;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_LEASE_KEEPER_H_
