#ifndef SRC_WIRE_ACTION_CODEC_H_
#define SRC_WIRE_ACTION_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/action.h"

namespace jasminelug::wire {

// The longest encoding of an action that is decoded, and its longest list.
inline constexpr std::size_t kMaxActionBytes = std::size_t{64} << 20;
inline constexpr std::size_t kMaxActionListLength = std::size_t{1} << 20;

// Returns the action's encoding, or an empty string, which no decoder accepts,
// where Thrift cannot hold it: a string of 2 GiB or more.
std::string Encode(const core::Action& action);

// The inverse of Encode(). Returns nullopt where the bytes are malformed,
// exceed the limits above or hold an action of a later release.
std::optional<core::Action> DecodeAction(std::string_view bytes);

}  // namespace jasminelug::wire

#endif  // SRC_WIRE_ACTION_CODEC_H_
