#include "src/wire/action_codec.h"

#include <cstdint>

#include "src/wire/internal/action_fields.h"
#include "src/wire/internal/compact_bytes.h"

namespace jasminelug::wire {
namespace {

constexpr internal::Limits kLimits{
    kMaxActionBytes, static_cast<std::int32_t>(kMaxActionListLength)};

}  // namespace

std::string Encode(const core::Action& action) {
  return internal::ToBytes<generated::Action>(action);
}

std::optional<core::Action> DecodeAction(std::string_view bytes) {
  return internal::FromBytes<generated::Action, core::Action>(bytes, kLimits);
}

}  // namespace jasminelug::wire
