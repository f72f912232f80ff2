#ifndef SRC_WIRE_PEER_MESSAGE_CODEC_H_
#define SRC_WIRE_PEER_MESSAGE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/peer_message.h"

namespace jasminelug::wire {

// Maximum length in bytes of an encoding that DecodePeerMessage() accepts.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{1} << 20;

// Returns the encoding of `message` in the Thrift compact protocol. Returns an
// empty string, which no decoder accepts, if the message holds a string of
// 2 GiB or more, which Thrift cannot encode.
std::string Encode(const core::PeerMessage& message);

// Decodes the result of Encode(). Returns nullopt if the bytes are malformed,
// are longer than kMaxPeerMessageBytes or hold a message that only a later
// release knows.
std::optional<core::PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace jasminelug::wire

#endif  // SRC_WIRE_PEER_MESSAGE_CODEC_H_
