#ifndef SRC_CORE_SHARE_HOLDER_H_
#define SRC_CORE_SHARE_HOLDER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/core/context.h"
#include "src/core/platform_call.h"
#include "src/core/share_table.h"
#include "src/core/time.h"

namespace jasminelug::core {

// Input of one call of ShareHolder::UpdateTable.
struct ShareTableInput {
  ShareHolderId m_self;
  ShareAmount m_goal;
  Revision m_goal_revision;
  ShareRequest m_share_request;
  // Whether the own row may grow: the own lease is valid without extensions.
  bool m_may_grow = false;
  // Whether the shares in earlier rows of this instance are no longer used.
  bool m_earlier_stopped = false;
  // Grows from what is not granted, without waiting until other holders have
  // confirmed their lower grants. For tests only.
  bool m_grow_before_confirm = false;
  // Returns whether the holder of a row has verifiably stopped using its share.
  std::function<bool(const ShareHolderId&)> m_has_stopped;
  // Returns whether this instance uses no more than the given amount.
  std::function<bool(const ShareAmount&)> m_uses_at_most;
};

// Maintains this instance's row in the table of one resource. Reads the table,
// and writes it by conditional updates until the row has the requested share.
class ShareHolder {
 public:
  static constexpr Duration kCheckInterval = 500ms;

  // `name` is the name of the table's object. The first write is delayed by a
  // random time, so that instances that start together do not conflict.
  explicit ShareHolder(std::string name) : m_name(std::move(name)) {}

  // Handles a version of the table from a list, a watch or an answer. Ignores
  // versions older than the known one.
  void OnObject(const Object& object);

  // Returns whether `call` is this object's call in progress.
  bool IsWaitingFor(CallId call) const { return m_call == call; }

  void OnPlatformAnswered(const PlatformAnswer& answer, Context& context);

  // Returns whether UpdateTable may have work to do. An unchanged table is
  // checked once every kCheckInterval.
  bool IsDue(Time now) const;

  // Makes the next call of UpdateTable check the table. To be called when the
  // requested share or the fence has changed.
  void ScheduleCheck() { m_next_check = {}; }

  // Writes or reads the table if this is necessary and no retry delay is
  // running. Returns the call made, if any.
  std::optional<CallId> UpdateTable(const ShareTableInput& input,
                                    Context& context);

  // Returns the amount that this instance may use, regardless of whether it is
  // fenced: the least of the granted and confirmed amounts of its row, over the
  // known version of the table and every pending write that may have taken
  // effect.
  ShareAmount Usable(const ShareHolderId& self) const;

  // Returns whether `instance` is listed neither in the table nor in any
  // pending write.
  bool IsUnlisted(const InstanceId& instance) const;

  const ShareTable& table() const { return m_table; }

 private:
  // A write that may have taken effect or may still take effect.
  struct PendingWrite {
    // Revision of the table that the write is based on.
    Revision m_base_revision;
    ShareTable m_table;
  };

  ShareTable NextTable(const ShareTableInput& input, Time now);
  bool IsWorthWriting(const ShareTable& next,
                      const ShareTableInput& input) const;
  CallId SendPut(const ShareTable& next, Context& context);
  CallId SendGet(Context& context);
  void RecordCall(CallId call, Context& context);
  void DelayRetry(Context& context);

  std::string m_name;
  ShareTable m_table;
  // Version that the next write expects; 0 if the object does not exist.
  uint64_t m_version = 0;
  Revision m_revision;
  std::vector<PendingWrite> m_pending;
  std::optional<CallId> m_call;
  Time m_call_deadline;
  bool m_must_read = false;
  bool m_started = false;
  uint64_t m_last_write = 0;
  Time m_next_try;
  Time m_no_growth_until;
  Time m_next_check;
  Duration m_retry_delay{};
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SHARE_HOLDER_H_
