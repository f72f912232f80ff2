#include "src/platform/object.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminelug::platform {
namespace {

bool IsControlCharacter(char c) {
  constexpr char kDelete = 0x7f;
  return (c >= 0 && c < ' ') || c == kDelete;
}

// Returns whether `text` is valid UTF-8. The JSON library omits invalid bytes
// from its output, so that only valid text remains unchanged.
bool IsUtf8(std::string_view text) {
  const std::string valid = nlohmann::json(text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::ignore);
  return nlohmann::json::parse(valid).get<std::string>() == text;
}

bool IsText(std::string_view text, std::size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes &&
         std::none_of(text.begin(), text.end(), IsControlCharacter) &&
         IsUtf8(text);
}

}  // namespace

bool IsName(std::string_view text) {
  return IsText(text, kMaxNameBytes);
}

bool IsWriteId(std::string_view text) {
  return IsText(text, kMaxWriteIdBytes);
}

}  // namespace jasminelug::platform
