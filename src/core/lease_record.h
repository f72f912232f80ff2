#ifndef SRC_CORE_LEASE_RECORD_H_
#define SRC_CORE_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/ids.h"
#include "src/core/own_lease.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The part of a lease object's value that the shares need. The lease object is
// of kind kInstance and is named after its instance. Its other fields are
// ignored here.
//
// A lease object is deleted only by its holder, after all of the holder's
// shares were released, or by a reclaimer that has made sure that the holder
// can no longer use its shares.
struct LeaseRecord {
  Incarnation m_incarnation;
  uint64_t m_series = 1;
  Duration m_duration{};
  LeaseCell m_cell;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// Returns the record as the JSON object {"incarnation", "series", "lease_us",
// "cell": [{"instance", "incarnation"}]}.
std::string EncodeLeaseRecord(const LeaseRecord& record);

// Returns the record, or nullopt if the value is malformed.
std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& value);

}  // namespace jasminelug::core

#endif  // SRC_CORE_LEASE_RECORD_H_
