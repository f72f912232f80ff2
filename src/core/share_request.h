#ifndef SRC_CORE_SHARE_REQUEST_H_
#define SRC_CORE_SHARE_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/ids.h"
#include "src/core/share_environment.h"
#include "src/core/share_table.h"

namespace jasminelug::core {

// Returns whether `self` is one of the `count` live instances that hold shares
// of the resource: those with the highest rendezvous hashing weight. All
// instances with the same set of live instances get the same result. See Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
bool IsHolder(const std::string& resource,
              const InstanceId& self,
              const std::vector<InstanceId>& live,
              uint64_t count);

// Returns the share of an allowance that this instance requests: an equal
// share, or more if its long-term demand is higher. `demand` is that demand in
// millicredits per second. The request `previous` is kept while it is close
// enough, to avoid writes.
ShareRequest ComputeAllowanceRequest(const std::string& resource,
                                     const ShareAmount& goal,
                                     uint64_t demand,
                                     const ShareRequest& previous,
                                     const ShareEnvironment& environment);

// Returns the share of a database's connections that this instance requests: an
// equal share, plus one connection if the total does not divide evenly.
ShareRequest ComputeConnectionRequest(const std::string& resource,
                                      const ShareAmount& goal,
                                      const ShareEnvironment& environment);

}  // namespace jasminelug::core

#endif  // SRC_CORE_SHARE_REQUEST_H_
