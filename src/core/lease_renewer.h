#ifndef SRC_CORE_LEASE_RENEWER_H_
#define SRC_CORE_LEASE_RENEWER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/core/context.h"
#include "src/core/instance_record.h"
#include "src/core/own_lease.h"
#include "src/core/platform_call.h"
#include "src/core/time.h"

namespace jasminelug::core {

inline constexpr Duration kDefaultLease = 12s;
// Number of renewals of a lease within its duration.
inline constexpr int kRenewalsPerLease = 3;
// Maximum time that a shutdown waits for the platform to delete this instance's
// lease object.
inline constexpr Duration kDeregisterLimit = 5s;

// Registers this instance with the platform and renews its lease.
//
// At most one write is in flight, and each write has a unique id. If the
// outcome of a write is unknown, the object is read back, and the id in it
// shows whether the write took effect. The lease is counted from the time at
// which the write that took effect was sent. So this instance never considers
// its lease valid for longer than other instances do.
class LeaseRenewer {
 public:
  struct Hooks {
    std::function<void(const OwnLease&, Context&)> m_on_lease;
    std::function<void(Context&)> m_on_fenced;
    std::function<void(Context&)> m_on_deregistered;
    // Returns the peers that may extend the lease as renewed next.
    std::function<std::vector<PeerSender>()> m_choose_cell;
  };

  // `record` describes this instance. Its fields for the cell and the number of
  // renewals are set by this class.
  LeaseRenewer(InstanceRecord record, Hooks hooks);

  void Start(Context& context);
  void OnTick(Context& context);
  void OnPlatformAnswered(CallId call,
                          const PlatformAnswer& answer,
                          Context& context);

  // Handles this instance's lease object as received from a watch or a peer.
  void OnOwnObject(const Object& object, Context& context);

  // Renews the lease at once and marks this instance as draining, so that it
  // gets no more work.
  void SetDraining(Context& context);

  // Deletes this instance's lease object.
  void Deregister(Context& context);

  // Returns whether another process that is not older runs under this
  // instance's id.
  bool IsFenced() const { return m_state == State::kFenced; }

  // Returns the time until which the lease is known to be valid; nullopt if no
  // write is known to have taken effect.
  std::optional<Time> ValidUntil() const;

 private:
  enum class State { kRegistered, kDeregistering, kDeregistered, kFenced };
  enum class CallKind { kNone, kPut, kGet, kDelete };

  // A write that may have taken effect or may still do so.
  struct SentWrite {
    std::string m_id;
    Time m_sent;
    LeaseCell m_cell;
    bool m_draining = false;
  };

  void CallAgain(Context& context);
  void SendPut(Context& context);
  void SendGet(Context& context);
  void SendDelete(Context& context);
  void SendCall(CallKind call_kind, PlatformRequest request, Context& context);
  void OnObject(const Object& object, Context& context);
  void OnOwnWriteConfirmed(const SentWrite& write,
                           const Object& object,
                           Context& context);
  void OnOtherWrite(const Object& object, Context& context);
  void OnAbsent(Context& context);
  void OnFailure(const PlatformFailure& failure, Context& context);
  void ScheduleRetry(Context& context);
  void Fence(Incarnation other, Context& context);
  void FinishDeregistration(Context& context);
  void ReportLease(Context& context);
  void RecordLapse(Context& context);
  void Record(TimelineKind kind, std::string detail, Context& context) const;
  const SentWrite* FindWrite(const std::string& id) const;
  bool IsOwnWrite(const std::string& id) const;

  InstanceRecord m_record;
  Hooks m_hooks;
  State m_state = State::kRegistered;
  // The lease as confirmed by the platform, and the cells of writes that may
  // still take effect.
  OwnLease m_lease;
  // Version that the next write expects; 0 if the object does not exist.
  uint64_t m_expected_version = 0;
  // Writes whose outcome is unknown, oldest first.
  std::vector<SentWrite> m_writes;
  // Prefix of the id of each write by this process. Unique to this process.
  std::string m_write_prefix;
  uint64_t m_last_write = 0;
  // The call in flight; kNone if there is none.
  CallKind m_call_kind = CallKind::kNone;
  CallId m_call;
  Time m_call_overdue;
  // True if the object has to be read before the next write.
  bool m_must_read = false;
  bool m_lapse_recorded = false;
  Time m_next_call;
  Duration m_retry_delay{};
  Time m_deregister_deadline;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_LEASE_RENEWER_H_
