#ifndef SRC_WIRE_PEER_MESSAGE_CODEC_H_
#define SRC_WIRE_PEER_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/peer_message.h"

namespace jasminelug::wire {

// The longest encoding of a peer message that is decoded.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{1} << 20;

// Returns the message's encoding, or an empty string, which no decoder
// accepts, where Thrift cannot hold it: a string of 2 GiB or more.
std::string Encode(const core::PeerMessage& message);

// The inverse of Encode(). Returns nullopt where the bytes are malformed, are
// more than kMaxPeerMessageBytes or hold a message of a later release.
std::optional<core::PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace jasminelug::wire

#endif  // SRC_WIRE_PEER_MESSAGE_CODEC_H_
