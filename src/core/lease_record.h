#ifndef SRC_CORE_LEASE_RECORD_H_
#define SRC_CORE_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/ids.h"
#include "src/core/own_lease.h"
#include "src/core/time.h"

namespace jasminelug::core {

// The part of a lease object's value (kind kInstance, named for the instance)
// that the shares need. Other fields of the object are ignored here.
//
// A lease object is deleted only by its holder, after all its shares were
// released, or by a reclaimer that has proved the holder fenced.
struct LeaseRecord {
  Incarnation m_incarnation;
  uint64_t m_series = 1;
  Duration m_duration{};
  LeaseCell m_cell;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// Returns the JSON object {"incarnation", "series", "lease_us", "cell":
// [{"instance", "incarnation"}]}.
std::string EncodeLeaseRecord(const LeaseRecord& record);

// Returns the record, or nullopt where the value is malformed.
std::optional<LeaseRecord> DecodeLeaseRecord(const std::string& value);

}  // namespace jasminelug::core

#endif  // SRC_CORE_LEASE_RECORD_H_
