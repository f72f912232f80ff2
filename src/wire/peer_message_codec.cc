#include "src/wire/peer_message_codec.h"

#include "src/wire/internal/compact_bytes.h"
#include "src/wire/internal/peer_message_fields.h"

namespace jasminelug::wire {

std::string Encode(const core::PeerMessage& message) {
  return internal::ToBytes<generated::PeerMessage>(message);
}

std::optional<core::PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return internal::FromBytes<generated::PeerMessage, core::PeerMessage>(
      bytes, kMaxPeerMessageBytes);
}

}  // namespace jasminelug::wire
