#ifndef SRC_WIRE_ACTION_CODEC_H_
#define SRC_WIRE_ACTION_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/action.h"

namespace jasminelug::wire {

// Limits of DecodeAction(): the length of the encoding in bytes and the number
// of elements in any list.
inline constexpr std::size_t kMaxActionBytes = std::size_t{64} << 20;
inline constexpr std::size_t kMaxActionListLength = std::size_t{1} << 20;

// Returns the encoding of `action` in the Thrift compact protocol. Returns an
// empty string, which no decoder accepts, if the action holds a string of 2 GiB
// or more, which Thrift cannot encode.
std::string Encode(const core::Action& action);

// Decodes the result of Encode(). Returns nullopt if the bytes are malformed,
// exceed the limits above or hold an action that only a later release knows.
std::optional<core::Action> DecodeAction(std::string_view bytes);

}  // namespace jasminelug::wire

#endif  // SRC_WIRE_ACTION_CODEC_H_
