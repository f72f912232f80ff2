#include "src/wire/action_codec.h"

#include <cstdint>

#include "src/wire/internal/action_fields.h"
#include "src/wire/internal/compact_encoding.h"

namespace jasminelug::wire {
namespace {

constexpr internal::DecodeLimits kLimits{
    kMaxActionBytes, static_cast<std::int32_t>(kMaxActionListLength)};

}  // namespace

std::string Encode(const core::Action& action) {
  return internal::EncodeCompact<generated::Action>(action);
}

std::optional<core::Action> DecodeAction(std::string_view bytes) {
  return internal::DecodeCompact<generated::Action, core::Action>(bytes,
                                                                  kLimits);
}

}  // namespace jasminelug::wire
