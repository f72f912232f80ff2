#ifndef SRC_WIRE_EVENT_CODEC_H_
#define SRC_WIRE_EVENT_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/event.h"

namespace jasminelug::wire {

// The longest encoding of an event that is decoded, and its longest list.
inline constexpr std::size_t kMaxEventBytes = std::size_t{64} << 20;
inline constexpr std::size_t kMaxEventListLength = std::size_t{1} << 20;

// Returns the event's encoding, or an empty string, which no decoder accepts,
// where Thrift cannot hold it: a string of 2 GiB or more.
// May hold a caller's key, as RequestReceived does: the bytes are for the
// engine alone, never for a log, a peer or a database.
std::string Encode(const core::Event& event);

// The inverse of Encode(). Returns nullopt where the bytes are malformed,
// exceed the limits above or hold an event of a later release.
std::optional<core::Event> DecodeEvent(std::string_view bytes);

}  // namespace jasminelug::wire

#endif  // SRC_WIRE_EVENT_CODEC_H_
