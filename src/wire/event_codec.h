#ifndef SRC_WIRE_EVENT_CODEC_H_
#define SRC_WIRE_EVENT_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/event.h"

namespace jasminelug::wire {

// Limits of DecodeEvent(): the length of the encoding in bytes and the number
// of elements in any list.
inline constexpr std::size_t kMaxEventBytes = std::size_t{64} << 20;
inline constexpr std::size_t kMaxEventListLength = std::size_t{1} << 20;

// Returns the encoding of `event` in the Thrift compact protocol. Returns an
// empty string, which no decoder accepts, if the event holds a string of 2 GiB
// or more, which Thrift cannot encode.
//
// The encoding of RequestReceived contains the caller's key, so pass the bytes
// only to the engine, never to a log, a peer or a database.
std::string Encode(const core::Event& event);

// Decodes the result of Encode(). Returns nullopt if the bytes are malformed,
// exceed the limits above or hold an event that only a later release knows.
std::optional<core::Event> DecodeEvent(std::string_view bytes);

}  // namespace jasminelug::wire

#endif  // SRC_WIRE_EVENT_CODEC_H_
