#ifndef SRC_CORE_RELAY_ASSEMBLER_H_
#define SRC_CORE_RELAY_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/core/ids.h"
#include "src/core/peer_message.h"

namespace jasminelug::core {

// Approximate size limit of one part of a relay, in bytes. It is well below the
// maximum frame size.
inline constexpr size_t kMaxRelayPartBytes = size_t{256} << 10U;

// Splits a relay into parts of about `max_bytes` bytes. Each part holds at
// least one object, however large; a relay without objects yields one part.
std::vector<RelayedObjects> SplitRelay(const RelayedObjects& whole,
                                       size_t max_bytes);

// Reassembles a relay from its parts. Holds the parts of only one relay at a
// time: a part of another relay discards them.
class RelayAssembler {
 public:
  // Adds a part. Returns the whole relay once no part is missing.
  std::optional<RelayedObjects> Add(const PeerSender& from,
                                    const RelayedObjects& part);

 private:
  // Identifies the relay whose parts are held.
  struct RelayId {
    PeerSender m_from;
    Revision m_since;
    Revision m_revision;
    uint32_t m_parts = 0;

    friend bool operator==(const RelayId&, const RelayId&) = default;
  };

  RelayId m_id;
  std::map<uint32_t, std::vector<Object>> m_parts;
};

}  // namespace jasminelug::core

#endif  // SRC_CORE_RELAY_ASSEMBLER_H_
