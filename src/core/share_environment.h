#ifndef SRC_CORE_SHARE_ENVIRONMENT_H_
#define SRC_CORE_SHARE_ENVIRONMENT_H_

#include <functional>
#include <vector>

#include "src/core/ids.h"
#include "src/core/share_options.h"
#include "src/core/share_table.h"

namespace jasminelug::core {

// State of this instance and of the fleet that AllowanceShares and
// ConnectionShares need to handle one event.
struct ShareEnvironment {
  ShareOptions m_options;
  ShareHolderId m_self;
  // Instances whose lease is valid, including this one.
  std::vector<InstanceId> m_live;
  // Whether this instance may use its shares: its lease is valid, or a majority
  // of its cell has extended it.
  bool m_may_use = false;
  // Whether this instance may increase its shares: its lease is valid without
  // extensions, and the platform answers.
  bool m_may_grow = false;
  // Whether credit transferred by earlier processes or lease series of this
  // instance can no longer be used anywhere.
  bool m_earlier_stopped = false;
  // Whether all shares are being released for a shutdown.
  bool m_releasing = false;
  // Returns whether the holder of a row has verifiably stopped using its share.
  std::function<bool(const ShareHolderId&)> m_has_stopped;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_SHARE_ENVIRONMENT_H_
