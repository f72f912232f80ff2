#include "src/platform/object.h"

#include <algorithm>

namespace jasminelug::platform {
namespace {

// std::isalnum depends on the locale.
bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace jasminelug::platform
