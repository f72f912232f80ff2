#include "src/wire/event_codec.h"

#include <cstdint>

#include "src/wire/internal/compact_encoding.h"
#include "src/wire/internal/event_fields.h"

namespace jasminelug::wire {
namespace {

constexpr internal::DecodeLimits kLimits{
    kMaxEventBytes, static_cast<std::int32_t>(kMaxEventListLength)};

}  // namespace

std::string Encode(const core::Event& event) {
  return internal::EncodeCompact<generated::Event>(event);
}

std::optional<core::Event> DecodeEvent(std::string_view bytes) {
  return internal::DecodeCompact<generated::Event, core::Event>(bytes, kLimits);
}

}  // namespace jasminelug::wire
