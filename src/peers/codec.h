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

// Size in bytes of the frame header, which holds the length of the envelope
// after it in big-endian order.
inline constexpr std::size_t kFrameHeaderBytes = 4;
// Maximum length of an encoded envelope in bytes, without the frame header.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;

// Returns a frame: the header, then `envelope` in the Thrift compact protocol.
//
// Errors: kTooLarge if the encoding is longer than kMaxFrameBytes or Thrift
// cannot encode the envelope.
Result<std::string, Error> EncodeFrame(const Envelope& envelope);

// Returns the envelope's length that the first kFrameHeaderBytes of `header`
// hold. `header` must not be shorter than that.
std::uint32_t DecodeFrameLength(std::string_view header);

// Decodes the envelope in `payload`, a frame without its header.
//
// Errors: kMalformed if the bytes are not exactly one envelope; kUnknownBody
// if its body is of a kind that this release does not know; kTooLarge if
// `payload` is longer than kMaxFrameBytes.
Result<Envelope, Error> DecodeEnvelope(std::string_view payload);

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_CODEC_H_
