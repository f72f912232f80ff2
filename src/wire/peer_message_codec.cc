#include "src/wire/peer_message_codec.h"

#include "src/wire/internal/compact_encoding.h"
#include "src/wire/internal/peer_message_fields.h"

namespace jasminelug::wire {
namespace {

// A message of kMaxPeerMessageBytes cannot hold 64 * 1024 objects, so the limit
// on the length of lists rejects no valid message.
constexpr internal::DecodeLimits kLimits{kMaxPeerMessageBytes, 64 * 1024};

}  // namespace

std::string Encode(const core::PeerMessage& message) {
  return internal::EncodeCompact<generated::PeerMessage>(message);
}

std::optional<core::PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return internal::DecodeCompact<generated::PeerMessage, core::PeerMessage>(
      bytes, kLimits);
}

}  // namespace jasminelug::wire
