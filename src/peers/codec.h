#ifndef SRC_PEERS_CODEC_H_
#define SRC_PEERS_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jasminelug/common.h"
#include "src/peers/envelope.h"
#include "src/peers/error.h"

namespace jasminelug::peers {

// Length of the big-endian length that precedes each envelope.
inline constexpr std::size_t kFrameHeaderBytes = 4;
// The longest envelope, without its header.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;

// Returns the envelope's length and its Thrift compact encoding.
// Errors: kTooLarge.
Result<std::string, Error> EncodeFrame(const Envelope& envelope);

// Reads the length in the first kFrameHeaderBytes of `header`.
std::uint32_t DecodeFrameLength(std::string_view header);

// Decodes one envelope from a frame without its header.
// Errors: kMalformed, kUnknownBody, kTooLarge.
Result<Envelope, Error> DecodeEnvelope(std::string_view payload);

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_CODEC_H_
